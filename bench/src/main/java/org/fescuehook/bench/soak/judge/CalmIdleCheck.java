package org.fescuehook.bench.soak.judge;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.fescuehook.bench.soak.judge.JobCall.Kind;

/**
 * Checks that an open job has something running at any time at which nothing is disturbed, less
 * than half of the service is in use and there is capacity for twice what could start. Unlike
 * beside a fault, runs that failed are no excuse, on a last attempt neither.
 */
final class CalmIdleCheck {

  /** For so long before a time nothing may have been disturbed for it to be calm. */
  private static final long CALM_MILLIS = 4000;

  private final History history;
  private final Map<String, List<TaskRun>> runs;
  private final FleetUse fleet;
  private final Findings findings;

  CalmIdleCheck(History history, Map<String, List<TaskRun>> runs, Findings findings) {
    this.history = history;
    this.runs = runs;
    this.fleet = new FleetUse(history, runs);
    this.findings = findings;
  }

  /** Checks an accepted job of the usual service that nobody has cancelled. */
  void check(PlannedJob job, List<JobCall> calls) {
    OptionalLong accepted = JobCall.acceptedAt(calls);
    boolean cancelled = calls.stream().anyMatch(call -> call.kind() == Kind.CANCEL);
    if (accepted.isEmpty() || cancelled || job.crashes() || job.queue() == PlannedJob.Queue.SMALL) {
      return;
    }
    List<TaskRun> ofJob = job.runs(runs);
    IdleTime idleTime =
        new IdleTime(
            Promise.GOES_ON_IN_CALM,
            fleet,
            (from, to) -> calm(ofJob, from, to),
            step -> job.gang() ? step.count() : 1,
            findings);
    long to = Math.min(IdleJobCheck.overAt(history, runs, job, calls), attemptsUsedUpAt(job));
    idleTime.checkGaps(job, ofJob, accepted.getAsLong(), to);
  }

  /** A task whose executor crashed is unknown for the time of a lease. */
  private boolean calm(List<TaskRun> ofJob, long from, long to) {
    return history.calm(from - CALM_MILLIS, to)
        && ofJob.stream()
            .filter(TaskRun::crashed)
            .noneMatch(
                run -> run.endMillis() <= to && run.endMillis() > from - History.LEASE_MILLIS);
  }

  /**
   * Returns when a task has failed as often as its queue allows, from when on nothing may start.
   */
  private long attemptsUsedUpAt(PlannedJob job) {
    return job.tasks().stream()
        .map(task -> runs.getOrDefault(task, List.of()))
        .flatMap(
            ofTask ->
                ofTask.stream()
                    .filter(TaskRun::failed)
                    .map(TaskRun::endMillis)
                    .sorted()
                    .skip(job.queue().maxAttempts() - 1L)
                    .limit(1))
        .min(Comparator.naturalOrder())
        .orElse(Long.MAX_VALUE);
  }
}
