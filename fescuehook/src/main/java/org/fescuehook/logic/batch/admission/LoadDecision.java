package org.fescuehook.logic.batch.admission;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Decides whether a new job certainly starts too late to be of use to its caller. It is refused if
 * its start is expected beyond the latest useful end, by figures that are favourable to the job:
 *
 * <ul>
 *   <li>only work that is ready to start counts as going before it
 *   <li>the backlog drains faster than was measured
 *   <li>the capacity that is not usable now comes back at once
 *   <li>work that was refused earlier and goes first counts up to half of the useful time only
 * </ul>
 *
 * <p>Work that was accepted counts as work that will be done: admitting a job that can be served
 * only if an accepted one is not would serve nobody better.
 */
final class LoadDecision {

  /**
   * Factor by which the backlog may drain faster than measured. Estimates of single tasks are far
   * off, but the sum of some hundreds that waits is not.
   */
  private static final double FASTEST_DRAIN = 1.25;

  /**
   * The same for the time after which a refused caller returns. A try that comes too early is lost,
   * and callers have few.
   */
  private static final double SLOWEST_DRAIN = 0.8;

  /** Share of the useful time up to which earlier refused work may hold up a new job. */
  private static final double MAX_HELD_SHARE = 0.5;

  private static final double MILLIS_PER_SECOND = 1000;

  private LoadDecision() {}

  /**
   * The times of a job, by its caller's estimate.
   *
   * @param spareMillis how late it may start and still meet its objective
   * @param usefulMillis time after which its result is of no use any more
   */
  record Times(long spareMillis, long usefulMillis) {}

  /**
   * The refusal of a job.
   *
   * @param expectedStartMillis when it would start at the earliest
   * @param capacityMillis when it would be admitted if nothing else came
   * @param ahead work that goes before it
   * @param heldFor work that was refused earlier and goes before it
   * @param ratePerSecond the measured drain rate
   */
  record TooLate(
      long expectedStartMillis,
      long capacityMillis,
      LoadState.WorkAhead ahead,
      double heldFor,
      double ratePerSecond) {}

  /**
   * Decides on a job for which there is no free capacity.
   *
   * @param refusedBefore work that was refused earlier than the job and goes before it
   * @return why it is refused; empty if it may be of use
   */
  static Optional<TooLate> decide(
      JobDemand job, Times times, LoadState load, double refusedBefore, boolean fairShares) {
    OptionalDouble measured = load.rate(job.pool());
    double usable = load.usableShare(job.pool());
    if (measured.isEmpty() || measured.getAsDouble() <= 0 || usable <= 0) {
      return Optional.empty();
    }
    double rate = measured.getAsDouble();
    double fastest = rate * FASTEST_DRAIN / usable;
    LoadState.WorkAhead ahead = load.ahead(job, fairShares);
    double usefulSeconds = times.usefulMillis() / MILLIS_PER_SECOND;
    double heldFor = Math.min(refusedBefore, usefulSeconds * MAX_HELD_SHARE * fastest);
    double start = (ahead.all() + heldFor) / fastest;
    double startInTime = (ahead.inTime() + heldFor) / fastest;
    boolean meetsObjective = startInTime <= times.spareMillis() / MILLIS_PER_SECOND;
    if (start <= usefulSeconds || meetsObjective) {
      return Optional.empty();
    }
    double capacitySeconds = (start - usefulSeconds) * fastest / (rate * SLOWEST_DRAIN);
    return Optional.of(
        new TooLate(
            Math.round(start * MILLIS_PER_SECOND),
            Math.round(capacitySeconds * MILLIS_PER_SECOND),
            ahead,
            heldFor,
            rate));
  }
}
