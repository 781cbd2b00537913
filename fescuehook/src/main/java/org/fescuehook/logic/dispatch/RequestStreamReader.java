package org.fescuehook.logic.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.model.request.RefusalReason;

/**
 * Applies the records of the stream {@code requests} to the registry, and decides whether the
 * registry is complete enough to make new claims.
 */
final class RequestStreamReader {
  private static final long NO_OFFSET = -1;

  private final ClaimRegistry registry;
  private final ClaimRegistry.Listener listener;
  private final long windowMillis;
  private final Consumer<DispatchCommand> out;
  private long lastOffset = NO_OFFSET;
  private boolean caughtUp;
  private boolean reachable;
  private boolean newerVersionRead;
  private Optional<Long> recordsMissedAtMillis = Optional.empty();

  RequestStreamReader(
      ClaimRegistry registry,
      ClaimRegistry.Listener listener,
      long windowMillis,
      Consumer<DispatchCommand> out) {
    this.registry = registry;
    this.listener = listener;
    this.windowMillis = windowMillis;
    this.out = out;
  }

  void read(LogRecord record) {
    if (record.offset() <= lastOffset) {
      return;
    }
    if (lastOffset != NO_OFFSET && record.offset() > lastOffset + 1) {
      recordsMissedAtMillis = Optional.of(record.appendedMillis());
      out.accept(new DispatchCommand.Count("fescuehook.requests.records.missed"));
      out.accept(
          new DispatchCommand.Note(
              RequestEvent.RECORDS_MISSED, lastOffset + 1, record.offset() - 1));
    }
    lastOffset = record.offset();
    switch (RequestRecords.decode(record.data())) {
      case RequestRecords.Decoded.Readable readable ->
          registry.apply(readable.record(), record.appendedMillis(), listener);
      case RequestRecords.Decoded.Newer newer ->
          reportNewerVersion(record.offset(), newer.version());
      case RequestRecords.Decoded.Corrupt() -> {
        out.accept(new DispatchCommand.Count("fescuehook.requests.records.corrupt"));
        out.accept(new DispatchCommand.Note(RequestEvent.RECORD_CORRUPT, record.offset()));
      }
    }
  }

  private void reportNewerVersion(long offset, int version) {
    newerVersionRead = true;
    out.accept(new DispatchCommand.Count("fescuehook.requests.records.newer"));
    out.accept(new DispatchCommand.Note(RequestEvent.RECORD_NEWER, offset, version));
  }

  void setCaughtUp() {
    caughtUp = true;
    reachable = true;
  }

  void setReachable(boolean isReachable) {
    reachable = isReachable;
  }

  /** Returns why no request id can be claimed now; empty if ids can be claimed. */
  Optional<RefusalReason> claimRefusal() {
    if (!caughtUp || newerVersionRead || mayMissClaims()) {
      return Optional.of(RefusalReason.NOT_READY);
    }
    if (!reachable) {
      return Optional.of(RefusalReason.LOG_UNAVAILABLE);
    }
    return Optional.empty();
  }

  /**
   * Returns whether claims that were deleted from the log before they were read may still be in
   * effect.
   */
  private boolean mayMissClaims() {
    return recordsMissedAtMillis.isPresent()
        && registry.logMillis() < recordsMissedAtMillis.get() + windowMillis;
  }
}
