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
 *   <li>work that was refused earlier counts only if its caller returns about now, and up to what
 *       drains meanwhile; without it, its place would be given to a newer caller
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

  /**
   * Time for which earlier refused work may hold up a new job: that in which its callers return,
   * from 2 s before until 2 s after the time that they were told.
   */
  private static final double MAX_HELD_SECONDS = 4;

  /**
   * Share of the useful time up to which earlier refused work counts before a job that would
   * overtake late work. The earlier work would overtake it as well, and admitting newer jobs for
   * this reason alone accepts more than the pool can do in time.
   */
  private static final double MAX_HELD_SHARE = 0.5;

  private static final double MILLIS_PER_SECOND = 1000;

  private LoadDecision() {}

  /**
   * The times of a job, by its caller's estimate.
   *
   * @param spareMillis how late it may start and still meet its objective
   * @param usefulMillis time after which its result is of no use any more
   */
  record Times(long spareMillis, long usefulMillis) {
    /** The times of a job whose useful time has passed. */
    static final Times PASSED = new Times(-1, -1);
  }

  /**
   * The refusal of a job.
   *
   * @param expectedStartMillis when it would start at the earliest
   * @param capacityMillis when it would be admitted if nothing else came
   * @param ahead work that goes before it
   * @param heldFor work that was refused earlier and keeps it from starting
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
   * @param held work that was refused earlier than the job; that which returns later only delays
   *     the return of the job
   * @return why it is refused; empty if it may be of use
   */
  static Optional<TooLate> decide(
      JobDemand job, Times times, LoadState load, HeldWork held, boolean fairShares) {
    OptionalDouble measured = load.rate(job.pool());
    double usable = load.usableShare(job.pool());
    if (measured.isEmpty() || measured.getAsDouble() <= 0 || usable <= 0) {
      return Optional.empty();
    }
    double rate = measured.getAsDouble();
    double fastest = rate * FASTEST_DRAIN / usable;
    LoadState.WorkAhead ahead = load.ahead(job, fairShares);
    double usefulSeconds = times.usefulMillis() / MILLIS_PER_SECOND;
    double heldFor = Math.min(held.due(), MAX_HELD_SECONDS * fastest);
    double start = (ahead.all() + heldFor) / fastest;
    double overtakes = Math.min(held.all(), usefulSeconds * MAX_HELD_SHARE * fastest);
    double startInTime = (ahead.inTime() + overtakes) / fastest;
    boolean meetsObjective = startInTime <= times.spareMillis() / MILLIS_PER_SECOND;
    if (start <= usefulSeconds || meetsObjective) {
      return Optional.empty();
    }
    double before = ahead.all() + held.all() - usefulSeconds * fastest;
    double capacitySeconds = before / (rate * SLOWEST_DRAIN);
    return Optional.of(
        new TooLate(
            Math.round(start * MILLIS_PER_SECOND),
            Math.round(capacitySeconds * MILLIS_PER_SECOND),
            ahead,
            heldFor,
            rate));
  }
}
