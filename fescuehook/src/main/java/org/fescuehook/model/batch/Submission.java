package org.fescuehook.model.batch;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * What a caller hands in.
 *
 * @param spec text that is passed to each task unchanged
 * @param steps the steps, at least one
 * @param schedule when the steps run; without one they run once, at once
 */
public record Submission(String spec, List<BatchStep> steps, Optional<Schedule> schedule) {

  /** Copies the list. */
  public Submission {
    steps = List.copyOf(steps);
  }

  /** Returns the work of one occurrence by its estimates, in seconds of one core. */
  public double estimatedCoreSeconds() {
    return steps.stream().mapToDouble(BatchStep::estimatedCoreSeconds).sum();
  }

  /** Returns the longest chain of work of one occurrence by its estimates, in milliseconds. */
  public long estimatedChainMillis() {
    return Arrays.stream(estimatedChainsMillis()).max().orElse(0);
  }

  /** Returns the longest chain of work that begins with a step, in milliseconds. */
  public long estimatedChainMillis(int first) {
    return estimatedChainsMillis()[first];
  }

  /**
   * Returns the longest chain of work that begins with each step, in milliseconds. Each step is
   * looked at once, from the last one on, as a step depends on earlier ones only.
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

  /** Returns how many times the steps run. */
  public int occurrences() {
    return schedule.map(Schedule::occurrences).orElse(1);
  }

  /**
   * Runs the steps several times.
   *
   * @param startMillis when the first occurrence is due, milliseconds since 1970
   * @param intervalMillis time between two occurrences
   * @param occurrences how many times, at least 1
   */
  public record Schedule(long startMillis, long intervalMillis, int occurrences) {

    /** Returns when an occurrence is due, milliseconds since 1970. */
    public long dueMillis(int occurrence) {
      return startMillis + intervalMillis * occurrence;
    }
  }
}
