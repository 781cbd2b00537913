package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import org.fescuehook.model.batch.JobQueue;

/**
 * How a waiting step stands in time; all by estimates, in nanoseconds.
 *
 * @param waitedNanos time since its job was accepted, or since its occurrence was due
 * @param queuedNanos time since its turn came, or since a run of it was begun last
 * @param spareNanos how long after its acceptance it may start and still meet the objective
 * @param objectiveNanos time from the acceptance of the job to its objective
 */
public record StepTiming(long waitedNanos, long queuedNanos, long spareNanos, long objectiveNanos) {

  /**
   * Share of its spare time that work waits for room that comes free by itself, before it may use
   * more of the room that is kept for urgent work, and others give way to it.
   */
  private static final double SPARE_TIME_WAITED = 0.8;

  /**
   * How long work that serves users, and work beside it, waits for an executor without the other
   * kind. Then they share one, and the work beside is paced.
   */
  private static final long ALONE_NANOS = Duration.ofSeconds(3).toNanos();

  /** Work without an end is of use whenever it runs, and late from the first moment on. */
  static StepTiming ofLasting(long queuedNanos) {
    return new StepTiming(queuedNanos, queuedNanos, 0, Long.MAX_VALUE / JobQueue.LATEST_OBJECTIVES);
  }

  /** What its caller can still get. */
  public enum Prospect {
    /** It can still meet its objective. */
    IN_TIME,
    /** It will miss its objective and still be of some use. */
    LATE,
    /** It will be of no use in time; it runs when there is room. */
    TOO_LATE
  }

  /** Returns what the caller can still get if the step starts now. */
  public Prospect prospect() {
    long over = waitedNanos - spareNanos;
    if (over <= 0) {
      return Prospect.IN_TIME;
    }
    boolean useful = over <= objectiveNanos * (JobQueue.LATEST_OBJECTIVES - 1);
    return useful ? Prospect.LATE : Prospect.TOO_LATE;
  }

  /** Tells whether work that serves and work that does not may come onto one executor. */
  public boolean toleratesOthers() {
    return queuedNanos > ALONE_NANOS;
  }

  /** Tells whether hardly any spare time is left. */
  public boolean pressed() {
    return waitedNanos > spareNanos * SPARE_TIME_WAITED;
  }
}
