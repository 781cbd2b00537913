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
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;

/** What tasks do, gangs across executors, and an audit of the promises about runs. */
final class VirtualWork {

  private static final long GANG_PATIENCE_MILLIS = 3000;
  private static final long FAILS_AFTER_MILLIS = 200;

  /** Bound on starts after an acknowledged cancel. */
  private static final long CANCEL_MILLIS = 3000;

  /** Bound on the life of runs of a cancelled job, within which the users expect a stop. */
  private static final long GONE_MILLIS = CANCEL_MILLIS + 200;

  /** A run that begins late, by no fault of the scheduler, may live this much longer. */
  private static final long LATE_START_MILLIS = 3000;

  private static final int PERCENT = 100;

  /** Work after which a lasting task is at work. */
  private static final long STARTUP_MILLIS = 300;

  /** A task away from its data, or from its gang, takes this many times as long. */
  private static final double FAR_FACTOR = 3;

  private final Map<String, Submission> submissions = new HashMap<>();
  private final Map<TaskRun, ExecutorId> running = new LinkedHashMap<>();
  private final Map<ExecutorId, FakeExecutor> executors = new HashMap<>();
  private final Map<ExecutorId, Map<Long, TaskRun>> unacknowledged = new HashMap<>();
  private final Set<TaskName> finished = new HashSet<>();

  /** Tasks that ever ended done, also where that end must not be counted on any more. */
  private final Set<TaskName> everFinished = new HashSet<>();

  private final Map<TaskName, Integer> failures = new HashMap<>();
  private final Set<TaskName> hopeless = new HashSet<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();

  /** When the order was sent that is being carried out late; absent if none is. */
  private OptionalLong lateSince = OptionalLong.empty();

  /** When runs began whose start was carried out late. */
  private final Map<TaskRun, Long> lateStarts = new HashMap<>();

  private final Set<ExecutorId> sick = new HashSet<>();
  private final Map<ExecutorId, Double> slow = new HashMap<>();
  private final List<TaskRun> starts = new ArrayList<>();
  private final Map<TaskName, Long> durations = new HashMap<>();
  final FakeAdvice advice = new FakeAdvice();
  final CrashingWork crashes = new CrashingWork();
  private double wastedCoreSeconds;
  private long stopMillis = 100;

  void submitted(String job, Submission submission) {
    submissions.put(job, submission);
  }

  void add(FakeExecutor executor) {
    executors.put(executor.profile().id(), executor);
  }

  /** Has every run of a task fail. */
  void failAlways(TaskName task) {
    hopeless.add(task);
  }

  /** Has an executor work at a share of its speed. */
  void slow(ExecutorId executor, double share) {
    slow.put(executor, share);
  }

  /** Has an executor work well again. */
  void mend(ExecutorId executor) {
    slow.remove(executor);
    sick.remove(executor);
  }

  /** Has every run on an executor fail soon. */
  void failAllOn(ExecutorId executor) {
    sick.add(executor);
  }

  List<TaskRun> starts() {
    return starts;
  }

  private BatchStep spec(TaskName task) {
    return submissions.get(task.job()).steps().get(task.step());
  }

  ResourceVector demand(TaskName task) {
    return spec(task).demand();
  }

  boolean checkpoints(TaskName task) {
    return spec(task).checkpointing();
  }

  /** Declares how long a task really works; without it as long as its estimate says. */
  void lasts(TaskName task, long millis) {
    durations.put(task, millis);
  }

  /** Returns the work after which a run ends. */
  long duration(TaskRun run) {
    boolean fails = sick.contains(running.get(run));
    return fails ? FAILS_AFTER_MILLIS : duration(run.task());
  }

  private long duration(TaskName task) {
    return durations.getOrDefault(task, spec(task).estimateMillis());
  }

  /** Tells whether a run ends by itself. */
  boolean ends(TaskRun run) {
    return spec(run.task()).lasting().isEmpty() || sick.contains(running.get(run));
  }

  boolean serves(TaskRun run) {
    return spec(run.task()).serves();
  }

  /**
   * Returns what an executor reports of a run: a third of its bound for a serving task alone, and
   * as much more for each other task at work beside it.
   */
  long load(TaskRun run, double othersAtWork) {
    if (!serves(run)) {
      return demand(run.task()).milliCores();
    }
    long bound = spec(run.task()).lasting().orElseThrow().targetMillis();
    return Math.round(bound * (1 + othersAtWork) / 3);
  }

  /** Returns how fast a run works: slower where its gang is spread over racks. */
  double speed(TaskRun run) {
    return slow.getOrDefault(running.get(run), 1.0) * nearness(run);
  }

  private double nearness(TaskRun run) {
    if (!spec(run.task()).placement().sameRack()) {
      return 1;
    }
    long racks =
        members(run).stream()
            .map(member -> executors.get(running.get(member)).profile().rack())
            .distinct()
            .count();
    return racks == 1 ? 1 : 1 / FAR_FACTOR;
  }

  /** Counts work that has to be done again, or time that a gang waited for its members. */
  void wasted(TaskRun run, long millis) {
    wastedCoreSeconds += demand(run.task()).coreEquivalents() * millis / 1000.0;
  }

  double wastedCoreSeconds() {
    return wastedCoreSeconds;
  }

  /** Declares how long a stop takes. */
  void stopsTake(long millis) {
    stopMillis = millis;
  }

  long stopMillis() {
    return stopMillis;
  }

  long gangPatienceMillis() {
    return GANG_PATIENCE_MILLIS;
  }

  int percent(TaskRun run, long workedMillis) {
    if (spec(run.task()).lasting().isPresent()) {
      return workedMillis >= STARTUP_MILLIS ? PERCENT : 0;
    }
    return (int) Math.min(PERCENT, workedMillis * PERCENT / duration(run.task()));
  }

  /** Has an order carried out late: for the bound on starts, the time counts when it was sent. */
  void late(long sentMillis, Runnable order) {
    lateSince = OptionalLong.of(sentMillis);
    order.run();
    lateSince = OptionalLong.empty();
  }

  /** A cancel was acknowledged: its job must not start anything much later. */
  void cancelled(String job, long nowMillis) {
    cancelledAt.putIfAbsent(job, nowMillis);
  }

  boolean cancelled(String job) {
    return cancelledAt.containsKey(job);
  }

  /** A start: no other run of the task may be alive, and none may have ended done. */
  void started(TaskRun run, ExecutorId executor, long nowMillis) {
    assertTrue(submissions.containsKey(run.task().job()), () -> "unasked start of " + run);
    boolean lasts = spec(run.task()).lasting().isPresent();
    assertFalse(
        !lasts && finished.contains(run.task()), () -> run + " starts although its task is done");
    long orderedAt = lateSince.orElse(nowMillis);
    long since = orderedAt - cancelledAt.getOrDefault(run.task().job(), orderedAt);
    assertTrue(since <= CANCEL_MILLIS, () -> run + " starts " + since + " ms after its cancel");
    for (TaskRun other : running.keySet()) {
      boolean same = other.task().equals(run.task());
      assertFalse(same, () -> run + " starts at " + nowMillis + " beside " + other);
    }
    for (int earlier : spec(run.task()).dependsOn()) {
      TaskName task = run.task();
      int count = submissions.get(task.job()).steps().get(earlier).count();
      for (int index = 0; index < count; index++) {
        TaskName needed = new TaskName(task.job(), task.occurrence(), earlier, index);
        assertTrue(done(needed), () -> run + " starts before " + needed + " is done");
      }
    }
    running.put(run, executor);
    starts.add(run);
    lateSince.ifPresent(sentAt -> lateStarts.put(run, nowMillis));
    crashes.started(run);
  }

  /** No run of a job whose cancel was acknowledged may outlive a calm stretch. */
  void checkEnded(long calmSinceMillis, long nowMillis) {
    for (TaskRun run : running.keySet()) {
      long cancelled = cancelledAt.getOrDefault(run.task().job(), nowMillis);
      Long late = lateStarts.get(run);
      long from = Math.max(cancelled, calmSinceMillis);
      long due = late == null ? from : Math.max(from, late + LATE_START_MILLIS);
      assertTrue(
          nowMillis <= due + GONE_MILLIS,
          () ->
              run
                  + " is alive at "
                  + nowMillis
                  + ", cancelled at "
                  + cancelled
                  + ", calm since "
                  + calmSinceMillis);
    }
  }

  private boolean done(TaskName task) {
    if (!spec(task).gang()) {
      return everFinished.contains(task);
    }
    return everFinished.stream()
        .anyMatch(other -> other.job().equals(task.job()) && other.step() == task.step());
  }

  /** Tells whether all members of the run's gang are present. */
  boolean together(TaskRun run) {
    return !spec(run.task()).gang() || members(run).size() == spec(run.task()).count();
  }

  private List<TaskRun> members(TaskRun run) {
    return running.keySet().stream()
        .filter(
            other ->
                other.number() == run.number()
                    && other.task().job().equals(run.task().job())
                    && other.task().occurrence() == run.task().occurrence()
                    && other.task().step() == run.task().step())
        .toList();
  }

  /** The work of a run is over: it ends, and with it its gang. */
  void finish(TaskRun run, long nowMillis) {
    boolean fails = hopeless.contains(run.task()) || sick.contains(running.get(run));
    RunEnd how = fails ? RunEnd.FAILED : RunEnd.DONE;
    List<TaskRun> members = spec(run.task()).gang() ? members(run) : List.of(run);
    for (TaskRun member : members) {
      RunEnd end = how == RunEnd.DONE || member.equals(run) ? how : RunEnd.GANG_BROKEN;
      executors.get(running.get(member)).end(member, end, nowMillis);
    }
  }

  void ended(TaskRun run, ExecutorId executor, long number, RunEnd how, long nowMillis) {
    boolean gang = spec(run.task()).gang();
    List<TaskRun> others =
        gang ? members(run).stream().filter(other -> !other.equals(run)).toList() : List.of();
    running.remove(run);
    if (how == RunEnd.DONE) {
      finished.add(run.task());
      everFinished.add(run.task());
      unacknowledged.computeIfAbsent(executor, id -> new HashMap<>()).put(number, run);
    }
    if (how == RunEnd.FAILED) {
      failures.merge(run.task(), 1, Integer::sum);
    }
    boolean breaks = how != RunEnd.DONE && how != RunEnd.GANG_BROKEN && how != RunEnd.FAILED;
    if (breaks) {
      others.forEach(
          other -> executors.get(running.get(other)).end(other, RunEnd.GANG_BROKEN, nowMillis));
    }
  }

  /** The executor forgets an end: from now on its task must not be lost. */
  void acknowledged(ExecutorId executor, long number) {
    Map<Long, TaskRun> ends = unacknowledged.getOrDefault(executor, Map.of());
    ends.keySet().removeIf(end -> end <= number);
  }

  /** A run vanished with its executor; what it had done and was not acknowledged is gone. */
  void gone(TaskRun run, long nowMillis) {
    List<TaskRun> others = members(run).stream().filter(other -> !other.equals(run)).toList();
    running.remove(run);
    if (spec(run.task()).gang()) {
      others.forEach(
          other -> executors.get(running.get(other)).end(other, RunEnd.GANG_BROKEN, nowMillis));
    }
  }

  /** An executor is gone, with the ends that nobody has taken note of. */
  void forget(ExecutorId executor) {
    Map<Long, TaskRun> ends = unacknowledged.getOrDefault(executor, Map.of());
    ends.values().forEach(run -> finished.remove(run.task()));
    unacknowledged.remove(executor);
  }

  int failures(TaskName task) {
    return failures.getOrDefault(task, 0);
  }
}
