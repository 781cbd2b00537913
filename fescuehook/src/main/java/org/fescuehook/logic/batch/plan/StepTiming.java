package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import org.fescuehook.model.batch.JobQueue;

/**
 * The waiting times of a step and the time that remains to its objective; all by estimates, in
 * nanoseconds.
 *
 * @param waitedNanos time since its job was accepted, or since its occurrence was due
 * @param queuedNanos time since it became ready to start, or since its last run was placed
 * @param spareNanos how long after its acceptance it may start and still meet the objective
 * @param objectiveNanos time from the acceptance of the job to its objective
 * @param estimatedSpareNanos the spare time by the caller's estimate alone
 * @param longestSpareNanos the spare time if the step is as short as few of its kind are
 */
public record StepTiming(
    long waitedNanos,
    long queuedNanos,
    long spareNanos,
    long objectiveNanos,
    long estimatedSpareNanos,
    long longestSpareNanos) {

  /**
   * Share of its spare time for which work waits for free capacity. After that it may use more of
   * the capacity reserved for urgent work and preempt other runs.
   */
  private static final double SPARE_TIME_SHARE = 0.8;

  /**
   * How long work that serves users, and other work, waits for an executor without work of the
   * other kind. After that both may share an executor, where the other work is throttled.
   */
  private static final long EXCLUSIVE_WAIT_NANOS = Duration.ofSeconds(3).toNanos();

  /** Creates the timing of a step of whose duration only the caller's estimate is known. */
  public StepTiming(long waitedNanos, long queuedNanos, long spareNanos, long objectiveNanos) {
    this(waitedNanos, queuedNanos, spareNanos, objectiveNanos, spareNanos, spareNanos);
  }

  /**
   * Creates the timing of a long-running step, which is useful whenever it runs and late from the
   * start.
   */
  static StepTiming ofLongRunning(long queuedNanos) {
    return new StepTiming(
        queuedNanos, queuedNanos, 0, Long.MAX_VALUE / JobQueue.MAX_USEFUL_OBJECTIVES);
  }

  /** Whether a step can still meet its objective. */
  public enum Prospect {
    /** It can still meet its objective. */
    IN_TIME,
    /** It will miss its objective, but its result is still of some use. */
    LATE,
    /** It will be too late to be of use; it runs when there is free capacity. */
    TOO_LATE
  }

  /** Returns whether the step can still meet its objective if it starts now. */
  public Prospect prospect() {
    long lateness = waitedNanos - spareNanos;
    if (lateness <= 0) {
      return Prospect.IN_TIME;
    }
    // The usual duration is not that of each caller; what may still be of use is not given up.
    long leastLateness = waitedNanos - Math.max(spareNanos, longestSpareNanos);
    boolean useful = leastLateness <= objectiveNanos * (JobQueue.MAX_USEFUL_OBJECTIVES - 1);
    return useful ? Prospect.LATE : Prospect.TOO_LATE;
  }

  /** Tells whether the step may share an executor between work that serves users and other work. */
  public boolean acceptsSharing() {
    return queuedNanos > EXCLUSIVE_WAIT_NANOS;
  }

  /**
   * Tells whether the spare time is almost used up. Work that usually exceeds its estimates is not
   * nearly late from the start, since it would use the capacity for urgent work and preempt others
   * at once.
   */
  public boolean nearlyLate() {
    return waitedNanos > Math.max(spareNanos, estimatedSpareNanos) * SPARE_TIME_SHARE;
  }
}
