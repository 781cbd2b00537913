package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Simulates the work of tasks, including gangs across executors, and checks the guarantees about
 * runs.
 */
final class TaskSimulation {

  private static final long GANG_TIMEOUT_MILLIS = 3000;
  private static final long FAILS_AFTER_MILLIS = 200;

  /** How long after an acknowledged cancel a start may still be sent. */
  private static final long START_BOUND_MILLIS = 3000;

  /**
   * How long a run may outlive an acknowledged cancel; the users expect a stop within that time.
   */
  private static final long STOP_BOUND_MILLIS = START_BOUND_MILLIS + 200;

  /**
   * Additional lifetime of a run whose start was delivered late, which the scheduler cannot
   * prevent.
   */
  private static final long LATE_START_MILLIS = 3000;

  private static final int PERCENT = 100;

  /** Work after which a long-running task has started up. */
  private static final long STARTUP_MILLIS = 300;

  /** Slow-down of a task that runs away from its data or from the rest of its gang. */
  private static final double FAR_FACTOR = 3;

  private final Map<String, Submission> submissions = new HashMap<>();
  private final Map<TaskRun, ExecutorId> running = new LinkedHashMap<>();
  private final Map<ExecutorId, FakeExecutor> executors = new HashMap<>();
  private final Map<ExecutorId, Map<Long, TaskRun>> unacknowledgedEnds = new HashMap<>();
  private final Set<TaskName> finished = new HashSet<>();

  /** Tasks that ever ended as done, including those whose end was lost with its executor. */
  private final Set<TaskName> everFinished = new HashSet<>();

  private final Map<TaskName, Integer> failures = new HashMap<>();
  private final Set<TaskName> failingTasks = new HashSet<>();
  private Predicate<TaskRun> failingRuns = run -> false;

  /** Acknowledged cancels, after which a job may start runs only within a short bound. */
  final Map<String, Long> cancelledAt = new HashMap<>();

  /** When the order that is being delivered late was sent; empty if there is none. */
  private OptionalLong lateOrderSentAt = OptionalLong.empty();

  /** Start times of runs whose start was delivered late. */
  private final Map<TaskRun, Long> lateStarts = new HashMap<>();

  private final Set<ExecutorId> failingExecutors = new HashSet<>();
  private final Map<ExecutorId, Double> speeds = new HashMap<>();
  private final List<TaskRun> starts = new ArrayList<>();
  private final Map<TaskName, Long> durations = new HashMap<>();
  final FakeAdvice advice = new FakeAdvice();
  final CrashingTasks crashingTasks = new CrashingTasks();
  final PlacementChecks placement = new PlacementChecks();
  final WorkWaste waste = new WorkWaste();

  /** How many ends an executor lists in an answer. */
  int endsPerAnswer = 500;

  private long stopMillis = 100;
  private boolean gangsAdvanceTogether;

  void recordSubmission(String job, String queue, Submission submission) {
    submissions.put(job, submission);
    placement.recordSubmission(job, queue);
  }

  void add(FakeExecutor executor) {
    executors.put(executor.profile().id(), executor);
  }

  /** Makes every run of a task fail. */
  void failAlways(TaskName task) {
    failingTasks.add(task);
  }

  /** Selects runs that fail at the end of their work, wherever they run. */
  void failRuns(Predicate<TaskRun> selected) {
    failingRuns = selected;
  }

  /** Makes an executor work at a share of its normal speed. */
  void slowDown(ExecutorId executor, double share) {
    speeds.put(executor, share);
  }

  /** Restores normal speed and success of an executor's runs. */
  void restore(ExecutorId executor) {
    speeds.remove(executor);
    failingExecutors.remove(executor);
  }

  /** Makes every run on an executor fail soon after its start. */
  void failAllOn(ExecutorId executor) {
    failingExecutors.add(executor);
  }

  /** Makes the members of each gang advance together, with the speed of the slowest. */
  void advanceGangsWithSlowestMember() {
    gangsAdvanceTogether = true;
  }

  List<TaskRun> starts() {
    return starts;
  }

  private BatchStep stepOf(TaskName task) {
    return submissions.get(task.job()).steps().get(task.step());
  }

  ResourceVector demand(TaskName task) {
    return stepOf(task).demand();
  }

  boolean checkpoints(TaskName task) {
    return stepOf(task).checkpointing();
  }

  /** Sets the actual work of a task; without it the work equals the estimate. */
  void setWorkMillis(TaskName task, long millis) {
    durations.put(task, millis);
  }

  /** Returns the work after which a run ends. */
  long duration(TaskRun run) {
    boolean fails = failingExecutors.contains(running.get(run));
    return fails ? FAILS_AFTER_MILLIS : duration(run.task());
  }

  private long duration(TaskName task) {
    return durations.getOrDefault(task, stepOf(task).estimateMillis());
  }

  /** Returns whether a run ends by itself. */
  boolean ends(TaskRun run) {
    return stepOf(run.task()).longRunning().isEmpty()
        || failingExecutors.contains(running.get(run));
  }

  boolean serves(TaskRun run) {
    return stepOf(run.task()).servesUsers();
  }

  /**
   * Returns the load that an executor reports for a run. A task that serves users reports a third
   * of its response time target when alone, and another third for each other task working beside
   * it.
   */
  long load(TaskRun run, double othersAtWork) {
    if (!serves(run)) {
      return demand(run.task()).milliCores();
    }
    long bound = stepOf(run.task()).longRunning().orElseThrow().targetMillis();
    return Math.round(bound * (1 + othersAtWork) / 3);
  }

  /**
   * Returns the relative speed of a run, which is lower on a slow executor and where its gang is
   * spread over racks.
   */
  double speed(TaskRun run) {
    boolean together = gangsAdvanceTogether && stepOf(run.task()).gang();
    List<TaskRun> runs = together ? members(run) : List.of(run);
    double slowest = Double.MAX_VALUE;
    for (TaskRun member : runs) {
      slowest = Math.min(slowest, speeds.getOrDefault(running.get(member), 1.0));
    }
    return slowest * rackFactor(run);
  }

  private double rackFactor(TaskRun run) {
    if (!stepOf(run.task()).placement().sameRack()) {
      return 1;
    }
    long racks =
        members(run).stream()
            .map(member -> executors.get(running.get(member)).profile().rack())
            .distinct()
            .count();
    return racks == 1 ? 1 : 1 / FAR_FACTOR;
  }

  /** Sets how long a stop takes. */
  void setStopMillis(long millis) {
    stopMillis = millis;
  }

  long stopMillis() {
    return stopMillis;
  }

  long gangTimeoutMillis() {
    return GANG_TIMEOUT_MILLIS;
  }

  int percent(TaskRun run, long workedMillis) {
    if (stepOf(run.task()).longRunning().isPresent()) {
      return workedMillis >= STARTUP_MILLIS ? PERCENT : 0;
    }
    return (int) Math.min(PERCENT, workedMillis * PERCENT / duration(run.task()));
  }

  /**
   * Delivers an order late. The bound on starts after a cancel then applies to the time at which
   * the order was sent.
   */
  void deliverLate(long sentMillis, Runnable order) {
    lateOrderSentAt = OptionalLong.of(sentMillis);
    order.run();
    lateOrderSentAt = OptionalLong.empty();
  }

  boolean cancelled(String job) {
    return cancelledAt.containsKey(job);
  }

  /**
   * Checks and records a start: no other run of the task may be alive, the task must not be done,
   * the tasks it depends on must be, and the placement rules of its step must allow it there.
   */
  void recordStart(TaskRun run, ExecutorId executor, long nowMillis) {
    assertTrue(
        submissions.containsKey(run.task().job()),
        () -> "start of a job that was not submitted: " + run);
    boolean longRunning = stepOf(run.task()).longRunning().isPresent();
    assertFalse(
        !longRunning && finished.contains(run.task()),
        () -> run + " starts although its task is done");
    long orderedAt = lateOrderSentAt.orElse(nowMillis);
    long since = orderedAt - cancelledAt.getOrDefault(run.task().job(), orderedAt);
    assertTrue(
        since <= START_BOUND_MILLIS, () -> run + " starts " + since + " ms after its cancel");
    for (TaskRun other : running.keySet()) {
      boolean same = other.task().equals(run.task());
      assertFalse(same, () -> run + " starts at " + nowMillis + " beside " + other);
    }
    for (int earlier : stepOf(run.task()).dependsOn()) {
      TaskName task = run.task();
      int count = submissions.get(task.job()).steps().get(earlier).count();
      for (int index = 0; index < count; index++) {
        TaskName needed = new TaskName(task.job(), task.occurrence(), earlier, index);
        assertTrue(done(needed), () -> run + " starts before " + needed + " is done");
      }
    }
    placement.checkStart(
        run, stepOf(run.task()), executors.get(executor).profile(), runningOn(executor), orderedAt);
    running.put(run, executor);
    starts.add(run);
    lateOrderSentAt.ifPresent(sentAt -> lateStarts.put(run, nowMillis));
    crashingTasks.checkStart(run);
  }

  private List<TaskRun> runningOn(ExecutorId executor) {
    return running.keySet().stream().filter(run -> running.get(run).equals(executor)).toList();
  }

  /**
   * Checks that no run of a job whose cancel was acknowledged survives a fault-free period longer
   * than the bound.
   */
  void checkEnded(long faultFreeSinceMillis, long nowMillis) {
    for (TaskRun run : running.keySet()) {
      long cancelled = cancelledAt.getOrDefault(run.task().job(), nowMillis);
      Long late = lateStarts.get(run);
      long from = Math.max(cancelled, faultFreeSinceMillis);
      long due = late == null ? from : Math.max(from, late + LATE_START_MILLIS);
      assertTrue(
          nowMillis <= due + STOP_BOUND_MILLIS,
          () ->
              run
                  + " is alive at "
                  + nowMillis
                  + ", cancelled at "
                  + cancelled
                  + ", without faults since "
                  + faultFreeSinceMillis);
    }
  }

  /** Returns whether a task, or the gang that it belongs to, has ever ended as done. */
  boolean done(TaskName task) {
    if (!stepOf(task).gang()) {
      return everFinished.contains(task);
    }
    return everFinished.stream()
        .anyMatch(other -> other.job().equals(task.job()) && other.step() == task.step());
  }

  /** Returns whether all members of the run's gang are running. */
  boolean gangComplete(TaskRun run) {
    return !stepOf(run.task()).gang() || members(run).size() == stepOf(run.task()).count();
  }

  private List<TaskRun> members(TaskRun run) {
    return running.keySet().stream()
        .filter(other -> other.number() == run.number() && PlacementChecks.ofSameStep(other, run))
        .toList();
  }

  /** Ends a run whose work is complete, and the other members of its gang with it. */
  void finish(TaskRun run, long nowMillis) {
    boolean fails =
        failingTasks.contains(run.task())
            || failingRuns.test(run)
            || failingExecutors.contains(running.get(run));
    RunEnd how = fails ? RunEnd.FAILED : RunEnd.DONE;
    List<TaskRun> members = stepOf(run.task()).gang() ? members(run) : List.of(run);
    for (TaskRun member : members) {
      RunEnd end = how == RunEnd.DONE || member.equals(run) ? how : RunEnd.GANG_BROKEN;
      executors.get(running.get(member)).end(member, end, nowMillis);
    }
  }

  void recordEnd(TaskRun run, ExecutorId executor, long number, RunEnd how, long nowMillis) {
    boolean gang = stepOf(run.task()).gang();
    List<TaskRun> others =
        gang ? members(run).stream().filter(other -> !other.equals(run)).toList() : List.of();
    running.remove(run);
    if (how == RunEnd.DONE) {
      finished.add(run.task());
      everFinished.add(run.task());
      unacknowledgedEnds.computeIfAbsent(executor, id -> new HashMap<>()).put(number, run);
    }
    if (how == RunEnd.FAILED) {
      failures.merge(run.task(), 1, Integer::sum);
    }
    boolean breaks = how != RunEnd.DONE && how != RunEnd.GANG_BROKEN && how != RunEnd.FAILED;
    if (breaks) {
      if (gang) {
        waste.gangBroken();
      }
      others.forEach(
          other -> executors.get(running.get(other)).end(other, RunEnd.GANG_BROKEN, nowMillis));
    }
  }

  /**
   * Records that an executor has dropped acknowledged ends; losing the executor no longer makes
   * their tasks run again.
   */
  void recordAcknowledgement(ExecutorId executor, long number) {
    Map<Long, TaskRun> ends = unacknowledgedEnds.getOrDefault(executor, Map.of());
    ends.keySet().removeIf(end -> end <= number);
  }

  /** Removes a run that was lost with its executor, and breaks its gang. */
  void removeLost(TaskRun run, long nowMillis) {
    List<TaskRun> others = members(run).stream().filter(other -> !other.equals(run)).toList();
    running.remove(run);
    if (stepOf(run.task()).gang()) {
      waste.gangBroken();
      others.forEach(
          other -> executors.get(running.get(other)).end(other, RunEnd.GANG_BROKEN, nowMillis));
    }
  }

  /** Forgets the ends of an executor that were not acknowledged; their tasks may run again. */
  void forgetEnds(ExecutorId executor) {
    Map<Long, TaskRun> ends = unacknowledgedEnds.getOrDefault(executor, Map.of());
    ends.values().forEach(run -> finished.remove(run.task()));
    unacknowledgedEnds.remove(executor);
  }

  int failures(TaskName task) {
    return failures.getOrDefault(task, 0);
  }
}
