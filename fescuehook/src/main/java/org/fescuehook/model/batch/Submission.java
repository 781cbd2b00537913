package org.fescuehook.model.batch;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A job as submitted by a caller.
 *
 * @param spec text that is passed to each task unchanged
 * @param steps the steps, at least one
 * @param schedule when the steps run; if empty, they run once and are due immediately
 */
public record Submission(String spec, List<BatchStep> steps, Optional<Schedule> schedule) {

  /** Copies the list. */
  public Submission {
    steps = List.copyOf(steps);
  }

  /** Returns the estimated work of one occurrence, in seconds of one core. */
  public double estimatedCoreSeconds() {
    return steps.stream().mapToDouble(BatchStep::estimatedCoreSeconds).sum();
  }

  /**
   * Returns the estimated duration of the longest chain of dependent steps in one occurrence, in
   * milliseconds.
   */
  public long estimatedChainMillis() {
    return Arrays.stream(estimatedChainsMillis()).max().orElse(0);
  }

  /**
   * Returns the estimated duration of the longest chain of dependent steps that begins with a step,
   * in milliseconds.
   */
  public long estimatedChainMillis(int first) {
    return estimatedChainsMillis()[first];
  }

  /**
   * Returns, for each step, the estimated duration of the longest chain of dependent steps that
   * begins with it, in milliseconds. A step depends on earlier ones only, so one pass from the last
   * step to the first is enough.
   */
  public long[] estimatedChainsMillis() {
    long[] chains = new long[steps.size()];
    for (int number = steps.size() - 1; number >= 0; number--) {
      BatchStep step = steps.get(number);
      chains[number] += step.estimateMillis();
      for (int earlier : step.dependsOn()) {
        chains[earlier] = Math.max(chains[earlier], chains[number]);
      }
    }
    return chains;
  }

  /** Returns the number of tasks of all occurrences. */
  public int tasks() {
    return steps.stream().mapToInt(BatchStep::count).sum() * occurrences();
  }

  /** Returns the number of occurrences: how often the steps run. */
  public int occurrences() {
    return schedule.map(Schedule::occurrences).orElse(1);
  }

  /**
   * A schedule by which the steps run repeatedly.
   *
   * @param startMillis when the first occurrence is due, milliseconds since 1970
   * @param intervalMillis time between two occurrences
   * @param occurrences number of occurrences, at least 1
   */
  public record Schedule(long startMillis, long intervalMillis, int occurrences) {

    /** Returns when an occurrence is due, milliseconds since 1970. */
    public long dueMillis(int occurrence) {
      return startMillis + intervalMillis * occurrence;
    }
  }
}
