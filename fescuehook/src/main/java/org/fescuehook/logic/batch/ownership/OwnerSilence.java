package org.fescuehook.logic.batch.ownership;

import java.time.Duration;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;

/** How long the owner has been silent for this VM, and for how long that is tolerated. */
final class OwnerSilence {

  /** Duration of a suspicion of the owner; calls renew it several times a second. */
  private static final long SUSPICION_NANOS = Duration.ofMillis(1500).toNanos();

  private final OwnershipTimeouts timeouts;
  private long since;

  /** Whether the silence began with a record of the owner. */
  private boolean sinceRecord;

  private OptionalLong suspectedAt = OptionalLong.empty();

  OwnerSilence(OwnershipTimeouts timeouts) {
    this.timeouts = timeouts;
  }

  /** Measures the silence anew from now on, although no record of the owner was read. */
  void restart(BatchContext context) {
    since = context.nowNanos();
    sinceRecord = false;
  }

  /** Measures the silence anew from now on, as there is news of the owner; ends a suspicion. */
  void restartByNews(BatchContext context) {
    restart(context);
    suspectedAt = OptionalLong.empty();
  }

  /**
   * Handles a new record of an owner.
   *
   * @param sameOwner whether the record before it was of the same epoch
   */
  void recordRead(OwnerRecord record, boolean sameOwner, BatchContext context) {
    if (sameOwner && sinceRecord) {
      long appendNanos = Duration.ofMillis(record.lastAppendMillis()).toNanos();
      timeouts.heartbeatReceived(nanos(context.nowNanos()), appendNanos, context);
    }
    restartByNews(context);
    sinceRecord = true;
  }

  /** Records that the owner has shown that it currently makes no decisions. */
  void suspected(BatchContext context) {
    suspectedAt = OptionalLong.of(context.nowNanos());
  }

  /** Returns how long the owner has been silent. */
  long nanos(long nowNanos) {
    return nowNanos - since;
  }

  /** Returns the silence after which the owner is replaced. */
  long timeoutNanos(BatchContext context) {
    boolean suspected =
        suspectedAt.isPresent() && context.nowNanos() - suspectedAt.getAsLong() < SUSPICION_NANOS;
    return suspected ? timeouts.suspectedSilenceNanos(context) : timeouts.silenceNanos(context);
  }

  /** Logs the silence at which this VM claims ownership, and the bounds of its timeout. */
  void noteClaim(BatchContext context) {
    SilenceBounds bounds = timeouts.silenceBounds(context);
    context.note(
        BatchLogEvent.OWNERSHIP_CLAIMED,
        millis(nanos(context.nowNanos())),
        millis(bounds.ofLongestGap()),
        millis(bounds.ofUsualGap()),
        millis(bounds.ofDelay()));
  }

  private static long millis(long nanos) {
    return Duration.ofNanos(nanos).toMillis();
  }
}
