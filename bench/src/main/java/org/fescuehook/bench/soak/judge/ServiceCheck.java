package org.fescuehook.bench.soak.judge;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** Checks that a job of an idle service starts, however full another service is. */
final class ServiceCheck {

  /** Time after its acceptance in which a job has to start. */
  private static final long START_MILLIS = 3000;

  /** For so long before its acceptance nothing may have been disturbed; longer than a lease. */
  private static final long CALM_MILLIS = 7000;

  private static final int TASKS_PER_EXECUTOR = 4;

  private final History history;
  private final Map<String, List<TaskRun>> runs;
  private final Findings findings;
  private final List<TaskRun> smallRuns;

  /** Slots of the executors on which the small service has run anything. */
  private final long slots;

  ServiceCheck(History history, Map<String, List<TaskRun>> runs, Findings findings) {
    this.history = history;
    this.runs = runs;
    this.findings = findings;
    List<String> small =
        history.jobs().stream().filter(ServiceCheck::small).map(PlannedJob::id).toList();
    this.smallRuns =
        runs.values().stream()
            .flatMap(Collection::stream)
            .filter(run -> small.contains(run.job()))
            .toList();
    this.slots =
        TASKS_PER_EXECUTOR * smallRuns.stream().map(TaskRun::executorNumber).distinct().count();
  }

  private static boolean small(PlannedJob job) {
    return job.queue() == PlannedJob.Queue.SMALL;
  }

  /** Checks an accepted job of the small service. */
  void check(PlannedJob job, List<JobCall> calls) {
    OptionalLong acceptance = JobCall.acceptedAt(calls);
    if (!small(job) || acceptance.isEmpty()) {
      return;
    }
    long from = acceptance.getAsLong();
    long to = from + START_MILLIS;
    if (to >= history.endMillis() || !history.calm(from - CALM_MILLIS, to)) {
      return;
    }
    boolean started =
        job.tasks().stream()
            .flatMap(task -> runs.getOrDefault(task, List.of()).stream())
            .anyMatch(run -> run.startMillis() <= to);
    findings.check(
        Promise.SERVICES_APART,
        started || !halfIdle(from, to),
        "job %s, accepted at %d".formatted(job.id(), from));
  }

  /** Tells whether at most half of the slots of the small service were in use at any time. */
  private boolean halfIdle(long from, long to) {
    List<TaskRun> during =
        smallRuns.stream().filter(run -> run.startMillis() < to && run.endMillis() > from).toList();
    return during.stream().allMatch(run -> 2 * running(during, run.startMillis()) <= slots);
  }

  private static long running(List<TaskRun> runs, long atMillis) {
    return runs.stream()
        .filter(run -> run.startMillis() <= atMillis && run.endMillis() > atMillis)
        .count();
  }
}
