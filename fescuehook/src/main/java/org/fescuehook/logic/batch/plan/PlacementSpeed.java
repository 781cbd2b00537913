package org.fescuehook.logic.batch.plan;

import java.util.Comparator;
import java.util.List;
import org.fescuehook.logic.batch.plan.StepTiming.Prospect;
import org.fescuehook.logic.batch.statistics.ExecutorSpeeds;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobQueue;

/**
 * Which speeds of executors suit a step. Urgent work takes the fastest. Other work takes the
 * slowest with which it still meets its objective, so that fast ones stay free for work that needs
 * them, and the next faster one if none is slow enough. For single tasks this decides only among
 * executors that are equally full, unless they need the speed.
 */
final class PlacementSpeed {

  /**
   * Part of the time to its objective within which a step is to end. The rest covers the start, the
   * error of the estimate and the report of the end.
   */
  private static final double USED_SHARE = 0.8;

  /**
   * Lowest class of speed that a gang takes as long as there are faster ones. Below, a task takes
   * more than twice as long as usual, and one slow member delays all others.
   */
  private static final int LOWEST_OF_GANGS = ExecutorSpeeds.classAtLeast(Math.log(0.45));

  private final boolean fastest;
  private final int required;

  /**
   * Creates the speeds that suit a step.
   *
   * @param fastest whether faster executors are always better
   * @param required lowest class of speed with which the step meets its objective
   */
  private PlacementSpeed(boolean fastest, int required) {
    this.fastest = fastest;
    this.required = required;
  }

  /** Returns the speeds that suit a step. */
  static PlacementSpeed of(WaitingStep waiting) {
    BatchStep spec = waiting.step().spec();
    int required = spec.longRunning().isPresent() ? Integer.MIN_VALUE : required(waiting.timing());
    return new PlacementSpeed(
        waiting.urgent(), spec.gang() ? Math.max(required, LOWEST_OF_GANGS) : required);
  }

  /**
   * Returns the lowest class of speed with which a step meets its objective, or, if it is late,
   * ends while its result is still of use. Without such a class the faster ones are left to others.
   */
  private static int required(StepTiming timing) {
    double multiple = timing.prospect() == Prospect.LATE ? JobQueue.MAX_USEFUL_OBJECTIVES : 1;
    double left = (timing.objectiveNanos() * multiple - timing.waitedNanos()) * USED_SHARE;
    double duration = timing.objectiveNanos() - timing.spareNanos();
    return timing.prospect() == Prospect.TOO_LATE || left <= 0 || duration <= 0
        ? Integer.MIN_VALUE
        : ExecutorSpeeds.classAtLeast(Math.log(duration / left));
  }

  /** Returns by how many classes a speed is too low. */
  private int shortfall(int speedClass) {
    return speedClass >= required ? 0 : required - speedClass;
  }

  /** Compares two classes of speed; the one that suits the step better comes first. */
  int compare(int one, int other) {
    if (one == other) {
      return 0;
    }
    if (fastest) {
      return Integer.compare(other, one);
    }
    if (one >= required && other >= required) {
      return Integer.compare(one, other);
    }
    return Integer.compare(other, one);
  }

  /**
   * Returns the order of candidates by how well they suit a step.
   *
   * @param byCapacity the order of executors of one speed
   */
  static Comparator<CandidateExecutor> order(
      WaitingStep waiting,
      List<CandidateExecutor> candidates,
      int wanted,
      Comparator<CandidateExecutor> byCapacity) {
    PlacementSpeed speed = of(waiting);
    if (!waiting.step().spec().gang()) {
      PlacementSpeed single = speed;
      return Comparator.comparing(CandidateExecutor::suspect)
          .thenComparingInt(candidate -> single.shortfall(candidate.speedClass()))
          .thenComparing(byCapacity)
          .thenComparing((one, other) -> single.compare(one.speedClass(), other.speedClass()));
    }
    if (!speed.fastest) {
      // No executor need be faster than the slowest one that the gang cannot do without.
      int pace = pace(waiting, candidates, wanted);
      speed = new PlacementSpeed(false, Math.min(speed.required, pace));
    }
    PlacementSpeed suited = speed;
    return Comparator.comparing(CandidateExecutor::suspect)
        .thenComparing((one, other) -> suited.compare(one.speedClass(), other.speedClass()))
        .thenComparing(byCapacity);
  }

  /**
   * Returns the highest class of speed such that a number of tasks fits onto executors of at least
   * that class: the pace of a gang, which is that of its slowest member.
   */
  static int pace(WaitingStep waiting, List<CandidateExecutor> candidates, int wanted) {
    boolean equal = candidates.stream().allMatch(candidate -> candidate.speedClass() == 0);
    if (equal) {
      return 0;
    }
    List<CandidateExecutor> ordered =
        candidates.stream()
            .sorted(
                Comparator.comparing(CandidateExecutor::suspect)
                    .thenComparing(
                        Comparator.comparingInt(CandidateExecutor::speedClass).reversed()))
            .toList();
    long fitting = 0;
    int slowest = Integer.MAX_VALUE;
    for (CandidateExecutor candidate : ordered) {
      int fits = FleetCapacity.fits(waiting, candidate);
      if (fits > 0) {
        slowest = Math.min(slowest, candidate.speedClass());
        fitting += fits;
      }
      if (fitting >= wanted) {
        return slowest;
      }
    }
    return Integer.MIN_VALUE;
  }
}
