package org.fescuehook.cli.command;

import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.fescuehook.logic.trace.JobOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Reports the replay of a job trace. Times are in seconds since the beginning of the trace.
 *
 * @param jobs outcome of each job, in the order of submission
 */
record JobReplayReport(List<Row> jobs) {

  private static final long MILLIS_PER_SECOND = 1000;

  /** Outcome of a job; a null time means that the job never started or never ended. */
  record Row(
      String job,
      String organisation,
      String outcome,
      long submittedSeconds,
      @Nullable Long startedSeconds,
      @Nullable Long endedSeconds,
      int attempts,
      int preemptions) {}

  static JobReplayReport of(List<JobOutcome> outcomes) {
    return new JobReplayReport(outcomes.stream().map(JobReplayReport::row).toList());
  }

  private static Row row(JobOutcome outcome) {
    return new Row(
        outcome.job().id().value(),
        outcome.job().organisation().value(),
        outcome.end().name().toLowerCase(Locale.ROOT).replace('_', '-'),
        outcome.job().submittedMillis() / MILLIS_PER_SECOND,
        seconds(outcome.firstStartMillis()),
        seconds(outcome.endMillis()),
        outcome.attempts(),
        outcome.preemptions());
  }

  private static @Nullable Long seconds(OptionalLong millis) {
    return millis.isPresent() ? millis.getAsLong() / MILLIS_PER_SECOND : null;
  }
}
