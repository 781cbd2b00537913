package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Tracks the leases on one incarnation of an executor. They expire by the clock of the executor;
 * this class bounds by the clock of this VM how long they may last.
 */
public final class LeaseTracker {

  /**
   * The clock of an executor may be slow by this factor, so its leases last longer by the clock of
   * this VM.
   */
  private static final double MAX_CLOCK_SLOWNESS = 1.02;

  /**
   * Added to the computed end of a lease, for readings of the executor's clock that were delayed in
   * transit.
   */
  private static final long CLOCK_READING_MARGIN_NANOS = Duration.ofMillis(250).toNanos();

  private OptionalLong clockOffsetMillis = OptionalLong.empty();
  private OptionalLong polledClockMillis = OptionalLong.empty();
  private long grantedUntilMillis;
  private long expiryNanos;

  LeaseTracker() {}

  /**
   * Creates a tracker for an executor that may hold leases of a former owner.
   *
   * @param expiryNanos when they have certainly expired, monotonic time
   */
  LeaseTracker(long expiryNanos) {
    this.expiryNanos = expiryNanos;
  }

  /**
   * Records a reading of the executor's clock. It is late by the time of its transit, which
   * shortens leases by as much.
   */
  void clockRead(long clockMillis, long nowNanos) {
    clockOffsetMillis = OptionalLong.of(clockMillis - Duration.ofNanos(nowNanos).toMillis());
  }

  /**
   * Records the reading of the executor's clock in the answer to a poll.
   *
   * @return the reading in the answer before, a time that had certainly passed when the executor
   *     received the poll; empty for the first answer
   */
  OptionalLong pollAnswered(long clockMillis, long nowNanos) {
    clockRead(clockMillis, nowNanos);
    OptionalLong previous = polledClockMillis;
    polledClockMillis = OptionalLong.of(clockMillis);
    return previous;
  }

  /**
   * Extends the lease and records how long it may last. The executor's clock must have been read
   * before.
   *
   * @param length length of the lease from now
   * @return the end of the lease by the clock of the executor
   */
  long extend(Duration length, long nowNanos) {
    long executorMillis = Duration.ofNanos(nowNanos).toMillis() + clockOffsetMillis.orElseThrow();
    grantedUntilMillis = Math.max(grantedUntilMillis, executorMillis + length.toMillis());
    mayLastFor(length, nowNanos);
    return grantedUntilMillis;
  }

  private static long maxDurationNanos(Duration lease) {
    return (long) (lease.toNanos() * MAX_CLOCK_SLOWNESS) + CLOCK_READING_MARGIN_NANOS;
  }

  /**
   * Records that the executor has accepted an order of this owner. From then on no former owner can
   * extend its lease, so that runs there end within the longest lease unless this owner extends it.
   */
  void excludeFormerOwners(Duration longest, long nowNanos) {
    expiryNanos = Math.min(expiryNanos, nowNanos + maxDurationNanos(longest));
  }

  /** Records that a lease may have been granted just now. */
  void mayLastFor(Duration lease, long nowNanos) {
    mayLastUntil(nowNanos + maxDurationNanos(lease));
  }

  /** Records that a lease granted by another owner may last until a time. */
  void mayLastUntil(long nanos) {
    expiryNanos = Math.max(expiryNanos, nanos);
  }

  /** Returns the end of the newest lease by the clock of the executor; 0 if none was granted. */
  long grantedUntilMillis() {
    return grantedUntilMillis;
  }

  /** Returns when the last lease has certainly expired, monotonic time. */
  public long expiryNanos() {
    return expiryNanos;
  }
}
