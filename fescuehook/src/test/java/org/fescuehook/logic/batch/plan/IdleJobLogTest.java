package org.fescuehook.logic.batch.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.StartEvidence;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/**
 * Guards against jobs that stay idle beside free capacity without a line in the log that names
 * them, and against such lines while a fleet is simply full.
 */
class IdleJobLogTest {

  private static final int EXECUTORS = 8;
  private static final long TICK_MILLIS = 50;

  private final PlanFixture fleet =
      new PlanFixture(
          EXECUTORS,
          EXECUTORS,
          new SchedulingPreferences(false, false, true, false, false, false, false));
  private final IdleJobLog log =
      new IdleJobLog(fleet.statistics.reliability(), PlanFixture.NOW - 1);
  private final List<BatchCommand.Warning> warnings = new ArrayList<>();
  private long nowMillis;

  IdleJobLogTest() {
    fleet.executors.forEach(executor -> executor.pollAnswered(PlanFixture.NOW));
  }

  private long nowNanos() {
    return PlanFixture.NOW + Duration.ofMillis(nowMillis).toNanos();
  }

  /** Lets time pass in which nothing is started. */
  private void run(long millis, Planner.Plan plan) {
    long until = nowMillis + millis;
    while (nowMillis < until) {
      nowMillis += TICK_MILLIS;
      BatchContext context = new BatchContext(nowNanos(), nowMillis);
      log.observe(fleet.waiting, nowNanos());
      log.check(fleet.waiting, plan, fleet.executors, context);
      for (BatchCommand command : context.commands()) {
        warnings.add((BatchCommand.Warning) command);
      }
    }
  }

  private void run(long millis) {
    run(millis, Planner.Plan.EMPTY);
  }

  private void occupy(int executors) {
    for (int i = 0; i < executors; i++) {
      fleet.run("north", 0, PlanFixture.tasks(1, PlanFixture.WHOLE_EXECUTOR, 60_000), i);
    }
  }

  private WaitingStep submitTask() {
    return fleet.submit("north", 2, PlanFixture.tasks(1, 1, 1000));
  }

  private List<Object> warning(BatchLogEvent event) {
    List<List<Object>> found =
        warnings.stream()
            .filter(warning -> warning.event() == event)
            .map(BatchCommand.Warning::arguments)
            .toList();
    assertEquals(1, found.size());
    return found.getFirst();
  }

  private static String id(WaitingStep step) {
    return step.step().job().job().id();
  }

  private static LiveRun place(WaitingStep waiting, Incarnation executor, long nowNanos) {
    StepProgress step = waiting.step();
    TaskRun name = new TaskRun(step.name(step.tasks().getFirst()), 1);
    LiveRun run = LiveRun.placed(name, executor, step, "", Optional.empty(), nowNanos);
    step.begin(step.tasks().getFirst(), run);
    return run;
  }

  @Test
  void aLastAttemptInAnIdleFleetIsLoggedWithTheExecutorsThatLackProof() {
    WaitingStep waiting = submitTask();
    StepProgress step = waiting.step();
    Incarnation faulty = fleet.executors.getFirst().incarnation();
    for (int run = 1; run < waiting.maxAttempts(); run++) {
      step.fail(step.tasks().getFirst(), run, faulty, nowNanos());
    }
    run(1900);
    assertEquals(List.of(), warnings);
    run(1100);
    List<Object> idle = warning(BatchLogEvent.JOB_IDLE);
    assertEquals(id(waiting), idle.getFirst());
    assertTrue((long) idle.get(1) >= 2000 && (long) idle.get(1) < 3000, idle::toString);
    assertEquals(List.of(0, 3, 4, 64L, 64L, 64L, 0), idle.subList(3, idle.size()));
    assertEquals(
        List.of(id(waiting), 8, 0, 0, 0, 0, 0, 8, 1, 0, 0, 0),
        warning(BatchLogEvent.IDLE_JOB_BARRED));
  }

  /** The line tells which rule of the plan it was, also if no executor is barred. */
  @Test
  void theRuleOfThePlanIsLoggedWithTheAgeOfTheNewestEvidence() {
    WaitingStep waiting = fleet.submit("north", 0, PlanFixture.gang(2, 8, 1000));
    BatchContext context = new BatchContext(nowNanos(), 0);
    for (StartEvidence evidence : StartEvidence.values()) {
      fleet.executors.forEach(
          executor ->
              fleet.statistics.reliability().observed(executor.incarnation(), evidence, context));
    }
    Planner.Plan plan = fleet.plan();
    run(2100, plan);
    assertEquals(
        List.of(id(waiting), HeldBy.RELIABILITY, 0, 2, "2050 ms ago", 2050L),
        warning(BatchLogEvent.IDLE_JOB_HELD));
  }

  @Test
  void aJobThatWaitsInAFleetMoreThanHalfInUseIsNotLogged() {
    occupy(EXECUTORS / 2 + 1);
    submitTask();
    run(20_000);
    assertEquals(List.of(), warnings);
  }

  @Test
  void aJobThatWaitsInAFleetHalfInUseIsLogged() {
    occupy(EXECUTORS / 2);
    submitTask();
    run(3000);
    assertEquals(List.of(32L, 64L, 32L, 0), warning(BatchLogEvent.JOB_IDLE).subList(6, 10));
  }

  @Test
  void aGangForWhichTheFreeCapacityIsTooSmallIsNotLogged() {
    occupy(EXECUTORS / 2);
    fleet.submit("north", 2, PlanFixture.gang(5, PlanFixture.WHOLE_EXECUTOR, 1000));
    run(20_000);
    assertEquals(List.of(), warnings);
  }

  /** Users count executors as idle that the owner does not use for a while. */
  @Test
  void aGangThatWaitsForRestingExecutorsIsLogged() {
    for (int i = 0; i < 5; i++) {
      fleet
          .executors
          .get(i)
          .backOff(Duration.ofSeconds(16), "test", new BatchContext(nowNanos(), 0));
    }
    fleet.submit("north", 2, PlanFixture.gang(8, PlanFixture.WHOLE_EXECUTOR, 1000));
    run(3000);
    assertEquals(List.of(64L, 64L, 24L, 0), warning(BatchLogEvent.JOB_IDLE).subList(6, 10));
    assertEquals(List.of(8, 5), warning(BatchLogEvent.IDLE_JOB_BARRED).subList(1, 3));
  }

  @Test
  void executorsThatAreUnlistedOrDoNotAnswerAddNoCapacityForAJob() {
    fleet.executors.forEach(executor -> executor.pollMissed(nowNanos(), 0, true));
    fleet.executors.getFirst().markUnlisted();
    submitTask();
    run(20_000);
    assertEquals(List.of(), warnings);
    fleet.executors.get(1).pollAnswered(nowNanos());
    run(2000);
    assertEquals(List.of(7, 0, 0, 6), warning(BatchLogEvent.IDLE_JOB_BARRED).subList(1, 5));
  }

  @Test
  void theCapacityKeptForUrgentWorkIsLogged() {
    WaitingStep waiting = submitTask();
    Planner.HeldBack held = new Planner.HeldBack(waiting, 20, 23, 64);
    run(
        3000,
        new Planner.Plan(
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(held),
            List.of(),
            List.of()));
    assertEquals(23, warning(BatchLogEvent.JOB_IDLE).getLast());
    assertEquals(8, warning(BatchLogEvent.IDLE_JOB_BARRED).getLast());
  }

  @Test
  void aJobWithAnotherRunThatHasStartedIsNotLogged() {
    WaitingStep waiting = fleet.submit("north", 2, PlanFixture.tasks(2, 1, 1000));
    place(waiting, fleet.executors.getFirst().incarnation(), nowNanos())
        .enter(LiveRun.Stage.RUNNING, nowNanos());
    run(20_000);
    assertEquals(List.of(), warnings);
  }

  /** A run that is placed and never confirmed keeps no other task from counting as idle. */
  @Test
  void aJobWhoseOnlyRunHasNotStartedIsLogged() {
    WaitingStep waiting = fleet.submit("north", 2, PlanFixture.tasks(2, 1, 1000));
    place(waiting, fleet.executors.getFirst().incarnation(), nowNanos())
        .enter(LiveRun.Stage.STARTING, nowNanos());
    run(3000);
    assertEquals(id(waiting), warning(BatchLogEvent.JOB_IDLE).getFirst());
  }

  /** A job counts as idle only from when a step of it is ready, or its last run has ended. */
  @Test
  void timeInWhichAJobRunsOrIsNotReadyDoesNotCount() {
    WaitingStep waiting = submitTask();
    run(1800);
    LiveRun run = place(waiting, fleet.executors.getFirst().incarnation(), nowNanos());
    run.enter(LiveRun.Stage.RUNNING, nowNanos());
    run(300);
    waiting.step().end(waiting.step().tasks().getFirst());
    run(1800);
    fleet.waiting.clear();
    run(5000);
    fleet.waiting.add(waiting);
    run(1800);
    assertEquals(List.of(), warnings);
  }

  /** Capacity that has just become free may be given to runs that have not started yet. */
  @Test
  void aJobIsNotLoggedAsSoonAsCapacityBecomesFree() {
    occupy(EXECUTORS);
    submitTask();
    run(10_000);
    fleet.executors.forEach(executor -> List.copyOf(executor.runs()).forEach(executor::remove));
    run(900);
    assertEquals(List.of(), warnings);
    run(1200);
    assertTrue((long) warning(BatchLogEvent.JOB_IDLE).get(1) > 10_000);
  }

  @Test
  void aJobIsLoggedAtMostEveryTenSeconds() {
    submitTask();
    run(12_000);
    warning(BatchLogEvent.JOB_IDLE);
    run(1500);
    assertEquals(6, warnings.size());
  }
}
