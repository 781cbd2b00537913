package org.fescuehook.logic.batch.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * How fast a pool of executors works off its backlog, in the unit of {@link JobDemand#work()} per
 * second: 1 if the whole pool is occupied and the estimates are right. Work counts by the callers'
 * estimates, as the backlog does, so that estimates that are all off by the same factor cancel out.
 */
final class DrainRate {

  /**
   * Time over which the rate is measured. The longest tasks of the deployments with heavy load take
   * about 9 s.
   */
  private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

  /** A rate that rose recently counts in full once it has lasted for this time. */
  private static final long RECENT_NANOS = Duration.ofSeconds(5).toNanos();

  /** Time of measurement below which the rate is not known, as after a takeover. */
  private static final long MIN_MEASURED_NANOS = Duration.ofSeconds(5).toNanos();

  private static final double NANOS_PER_SECOND = 1e9;

  private final Deque<Sample> samples = new ArrayDeque<>();

  /**
   * What was drained in an interval.
   *
   * @param work work that was done
   * @param occupied the occupied share of the pool, multiplied by the seconds of the interval
   */
  private record Sample(long from, long until, double work, double occupied) {}

  /**
   * Adds an interval.
   *
   * @param work work that was done in it
   * @param occupiedShare share of the pool that was occupied
   */
  void add(long from, long until, double work, double occupiedShare) {
    samples.add(new Sample(from, until, work, occupiedShare * (until - from) / NANOS_PER_SECOND));
    while (samples.size() > 1 && until - samples.getFirst().from() > WINDOW_NANOS) {
      samples.removeFirst();
    }
  }

  /**
   * Returns the work that the pool drains in a second, or more; empty if it is not known yet. What
   * was measured while the pool was partly idle says little, so an occupied pool counts as draining
   * at least as fast as its occupied capacity did before.
   *
   * @param occupiedShare share of the pool that is occupied now
   */
  OptionalDouble perSecond(double occupiedShare) {
    if (samples.isEmpty()) {
      return OptionalDouble.empty();
    }
    long until = samples.getLast().until();
    if (until - samples.getFirst().from() < MIN_MEASURED_NANOS) {
      return OptionalDouble.empty();
    }
    double occupied = samples.stream().mapToDouble(Sample::occupied).sum();
    double perOccupied = occupied > 0 ? Math.max(1, sum(until, WINDOW_NANOS) / occupied) : 1;
    double measured = Math.max(average(until, WINDOW_NANOS), average(until, RECENT_NANOS));
    return OptionalDouble.of(Math.max(measured, occupiedShare * perOccupied));
  }

  private double sum(long until, long nanos) {
    return samples.stream()
        .filter(sample -> until - sample.from() <= nanos)
        .mapToDouble(Sample::work)
        .sum();
  }

  private double average(long until, long nanos) {
    long measured =
        samples.stream()
            .filter(sample -> until - sample.from() <= nanos)
            .mapToLong(sample -> sample.until() - sample.from())
            .sum();
    return measured == 0 ? 0 : sum(until, nanos) * NANOS_PER_SECOND / measured;
  }
}
