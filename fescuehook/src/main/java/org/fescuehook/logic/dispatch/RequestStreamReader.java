package org.fescuehook.logic.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.model.request.RefusalReason;

/** Reads the stream {@code requests} into the book, and tells whether the book can be relied on. */
final class RequestStreamReader {
  private static final long NO_OFFSET = -1;

  private final ClaimRegistry book;
  private final ClaimRegistry.Listener reader;
  private final long windowMillis;
  private final Consumer<DispatchCommand> out;
  private long lastOffset = NO_OFFSET;
  private boolean caughtUp;
  private boolean reachable;
  private boolean newerVersion;
  private Optional<Long> missedAtMillis = Optional.empty();

  RequestStreamReader(
      ClaimRegistry book,
      ClaimRegistry.Listener reader,
      long windowMillis,
      Consumer<DispatchCommand> out) {
    this.book = book;
    this.reader = reader;
    this.windowMillis = windowMillis;
    this.out = out;
  }

  void read(LogRecord record) {
    if (record.offset() <= lastOffset) {
      return;
    }
    if (lastOffset != NO_OFFSET && record.offset() > lastOffset + 1) {
      missedAtMillis = Optional.of(record.appendedMillis());
      out.accept(new DispatchCommand.Count("fescuehook.requests.records.missed"));
      out.accept(
          new DispatchCommand.Note(
              RequestEvent.RECORDS_MISSED, lastOffset + 1, record.offset() - 1));
    }
    lastOffset = record.offset();
    switch (RequestRecords.decode(record.data())) {
      case RequestRecords.Decoded.Readable readable ->
          book.fold(readable.record(), record.appendedMillis(), reader);
      case RequestRecords.Decoded.Newer newer -> newer(record.offset(), newer.version());
      case RequestRecords.Decoded.Corrupt() -> {
        out.accept(new DispatchCommand.Count("fescuehook.requests.records.corrupt"));
        out.accept(new DispatchCommand.Note(RequestEvent.RECORD_CORRUPT, record.offset()));
      }
    }
  }

  private void newer(long offset, int version) {
    newerVersion = true;
    out.accept(new DispatchCommand.Count("fescuehook.requests.records.newer"));
    out.accept(new DispatchCommand.Note(RequestEvent.RECORD_NEWER, offset, version));
  }

  void caughtUp() {
    caughtUp = true;
    reachable = true;
  }

  void reachable(boolean isReachable) {
    reachable = isReachable;
  }

  /** Returns why no id can be claimed now; empty if one can. */
  Optional<RefusalReason> closed() {
    if (!caughtUp || newerVersion || missing()) {
      return Optional.of(RefusalReason.NOT_READY);
    }
    if (!reachable) {
      return Optional.of(RefusalReason.LOG_UNAVAILABLE);
    }
    return Optional.empty();
  }

  /** Claims that vanished unread may be in force until the window has passed. */
  private boolean missing() {
    return missedAtMillis.isPresent() && book.logMillis() < missedAtMillis.get() + windowMillis;
  }
}
