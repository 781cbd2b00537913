package org.fescuehook.bench.soak.judge;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.fescuehook.bench.soak.judge.JobCall.Kind;

/**
 * Checks that an open job has something running once the faults are over for some time, as long as
 * each executor is half free.
 */
final class IdleJobCheck {

  /** From this time after the quiet on jobs have to go on. */
  private static final long FINISH_MILLIS = 14_000;

  /** For how long a job may have nothing running. */
  private static final long IDLE_MILLIS = 3000;

  /** A crash makes its executor unknown for the length of a lease. */
  private static final long LEASE_MILLIS = 6000;

  private static final double HALF_OF_THE_SLOTS = 2;

  private final History history;
  private final Map<String, List<TaskRun>> runs;
  private final List<TaskRun> lateRuns;
  private final Findings findings;

  IdleJobCheck(History history, Map<String, List<TaskRun>> runs, Findings findings) {
    this.history = history;
    this.runs = runs;
    this.findings = findings;
    this.lateRuns =
        runs.values().stream()
            .flatMap(Collection::stream)
            .filter(run -> run.endMillis() >= history.quietMillis() + FINISH_MILLIS - LEASE_MILLIS)
            .toList();
  }

  /** Checks an accepted job that nobody has cancelled. */
  void check(PlannedJob job, List<JobCall> calls) {
    OptionalLong accepted = JobCall.acceptedAt(calls);
    boolean cancelled = calls.stream().anyMatch(call -> call.kind() == Kind.CANCEL);
    if (accepted.isEmpty() || cancelled || job.crashes()) {
      return;
    }
    List<TaskRun> ofJob = job.runs(runs);
    long from = Math.max(accepted.getAsLong(), history.quietMillis() + FINISH_MILLIS);
    long to = overAt(history, runs, job, calls);
    long idleSince = from;
    for (TaskRun run : ofJob) {
      checkIdle(job, idleSince, Math.min(run.startMillis(), to));
      idleSince = Math.max(idleSince, run.endMillis());
    }
    checkIdle(job, idleSince, to);
  }

  /** Returns when nothing of a job is left to run. */
  static long overAt(
      History history, Map<String, List<TaskRun>> runs, PlannedJob job, List<JobCall> calls) {
    long shown =
        calls.stream()
            .filter(JobCall::showsEnd)
            .mapToLong(JobCall::endedMillis)
            .min()
            .orElse(history.endMillis());
    boolean done =
        job.tasks().stream()
            .allMatch(
                task ->
                    job.doneWith(task).stream()
                        .flatMap(member -> runs.getOrDefault(member, List.of()).stream())
                        .anyMatch(TaskRun::done));
    long lastEnd = 0;
    for (String task : job.tasks()) {
      List<TaskRun> ofTask = runs.getOrDefault(task, List.of());
      for (TaskRun run : ofTask) {
        lastEnd = Math.max(lastEnd, run.endMillis());
      }
    }
    return done ? Math.min(shown, lastEnd) : shown;
  }

  private void checkIdle(PlannedJob job, long from, long to) {
    if (to <= from) {
      return;
    }
    boolean idle = to - from > IDLE_MILLIS && fleetIsIdle(from, to);
    findings.check(
        Promise.GOES_ON,
        !idle,
        "job %s has nothing running from %d to %d".formatted(job.id(), from, to));
  }

  private boolean fleetIsIdle(long from, long to) {
    Map<Integer, Double> used = new HashMap<>();
    for (TaskRun run : lateRuns) {
      if (run.crashed() && run.endMillis() >= from - LEASE_MILLIS && run.endMillis() <= to) {
        return false;
      }
      if (run.startMillis() < to && run.endMillis() > from) {
        used.merge(run.executorNumber(), PlannedJob.slotsPerTask(run.spec()), Double::sum);
      }
    }
    return used.values().stream().allMatch(slots -> slots < HALF_OF_THE_SLOTS);
  }
}
