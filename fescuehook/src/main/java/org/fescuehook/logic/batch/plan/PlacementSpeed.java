package org.fescuehook.logic.batch.plan;

import java.util.Comparator;
import java.util.List;
import org.fescuehook.logic.batch.plan.StepTiming.Prospect;
import org.fescuehook.logic.batch.statistics.ExecutorSpeeds;

/**
 * Which speeds of executors suit a step. Urgent work takes the fastest. Other work takes the
 * slowest with which it still meets its objective, so that fast ones stay free for work that needs
 * them, and the next faster one if none is slow enough.
 */
final class PlacementSpeed {

  /**
   * Part of the time to its objective within which a step is to end. The rest covers the start, the
   * error of the estimate and the report of the end.
   */
  private static final double USED_SHARE = 0.8;

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
    return new PlacementSpeed(waiting.urgent(), required(waiting.timing()));
  }

  /** Returns the lowest class of speed with which a step meets its objective. */
  private static int required(StepTiming timing) {
    if (timing.prospect() == Prospect.TOO_LATE) {
      return Integer.MIN_VALUE;
    }
    double left = (timing.objectiveNanos() - timing.waitedNanos()) * USED_SHARE;
    double duration = timing.objectiveNanos() - timing.spareNanos();
    if (timing.prospect() == Prospect.LATE || left <= 0) {
      // It misses its objective anyway; the faster ones are left to work that can meet its own.
      return 0;
    }
    return duration <= 0
        ? Integer.MIN_VALUE
        : ExecutorSpeeds.classAtLeast(Math.log(duration / left));
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

  /** Returns the order of candidates by how well their speeds suit a step. */
  static Comparator<CandidateExecutor> order(
      WaitingStep waiting, List<CandidateExecutor> candidates, int wanted) {
    PlacementSpeed speed = of(waiting);
    if (!speed.fastest && waiting.step().spec().gang()) {
      // No executor need be faster than the slowest one that the gang cannot do without.
      int pace = pace(waiting, candidates, wanted);
      speed = new PlacementSpeed(false, Math.min(speed.required, pace));
    }
    PlacementSpeed suited = speed;
    return Comparator.comparing(CandidateExecutor::suspect)
        .thenComparing((one, other) -> suited.compare(one.speedClass(), other.speedClass()));
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
