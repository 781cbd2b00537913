package org.fescuehook.model.batch;

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
    long longest = 0;
    for (int number = 0; number < steps.size(); number++) {
      longest = Math.max(longest, estimatedChainMillis(number));
    }
    return longest;
  }

  /** Returns the longest chain of work that begins with a step, in milliseconds. */
  public long estimatedChainMillis(int first) {
    long longest = 0;
    for (int number = first + 1; number < steps.size(); number++) {
      if (steps.get(number).dependsOn().contains(first)) {
        longest = Math.max(longest, estimatedChainMillis(number));
      }
    }
    return steps.get(first).estimateMillis() + longest;
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
