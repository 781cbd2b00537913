package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.OptionalLong;

/** The leases on one life of an executor, which end by its own clock, and until when they last. */
public final class LeaseTracker {

  /** An executor's clock may be slow by this share, so its leases last longer on ours. */
  private static final double SLOWEST_CLOCK = 1.02;

  /** Added to the computed end of a lease, for clock readings that were delayed on their way. */
  private static final long MARGIN_NANOS = Duration.ofMillis(250).toNanos();

  private OptionalLong aheadMillis = OptionalLong.empty();
  private long untilMillis;
  private long untilNanos;

  LeaseTracker() {}

  /**
   * Begins the leases of an executor that may have been given some that are not known here.
   *
   * @param untilNanos when they have surely expired, monotonic time
   */
  LeaseTracker(long untilNanos) {
    this.untilNanos = untilNanos;
  }

  /** Takes a reading of its clock. It is late by its way here, which shortens leases by as much. */
  void read(long clockMillis, long nowNanos) {
    aheadMillis = OptionalLong.of(clockMillis - Duration.ofNanos(nowNanos).toMillis());
  }

  /**
   * Names the end of a lease on the executor's clock, which has been read, and remembers until when
   * it may last.
   *
   * @param length length of the lease from now
   */
  long extend(Duration length, long nowNanos) {
    long nowThere = Duration.ofNanos(nowNanos).toMillis() + aheadMillis.orElseThrow();
    untilMillis = Math.max(untilMillis, nowThere + length.toMillis());
    mayLastFor(length, nowNanos);
    return untilMillis;
  }

  private static long longestNanos(Duration lease) {
    return (long) (lease.toNanos() * SLOWEST_CLOCK) + MARGIN_NANOS;
  }

  /**
   * Remembers that it has taken an order of this owner: no former owner can extend its lease any
   * more, so that what runs there ends within the longest lease unless this owner extends it.
   */
  void shutFormerOwnersOut(Duration longest, long nowNanos) {
    untilNanos = Math.min(untilNanos, nowNanos + longestNanos(longest));
  }

  /** Remembers that a lease may have been given just now. */
  void mayLastFor(Duration lease, long nowNanos) {
    mayLastUntil(nowNanos + longestNanos(lease));
  }

  /** Remembers that a lease that another owner gave may last until a time. */
  void mayLastUntil(long nanos) {
    untilNanos = Math.max(untilNanos, nanos);
  }

  /** Returns the end of the newest lease on the executor's clock; 0 if none was given. */
  long untilMillis() {
    return untilMillis;
  }

  /** Returns when the last lease has surely expired, monotonic time. */
  public long untilNanos() {
    return untilNanos;
  }
}
