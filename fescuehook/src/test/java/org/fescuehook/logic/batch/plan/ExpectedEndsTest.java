package org.fescuehook.logic.batch.plan;

import static org.fescuehook.logic.batch.plan.PlanFixture.NOW;
import static org.fescuehook.logic.batch.plan.PlanFixture.WHOLE_EXECUTOR;
import static org.fescuehook.logic.batch.plan.PlanFixture.gang;
import static org.fescuehook.logic.batch.plan.PlanFixture.tasks;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/** Which runs a plan expects to end by themselves, so that it does not preempt them. */
class ExpectedEndsTest {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private final PlanFixture fleet =
      new PlanFixture(
          2, 2, new SchedulingPreferences(false, true, false, false, false, false, false));

  /** Returns the runs that an urgent step preempts which needs as many whole executors. */
  private List<LiveRun> stops(int executors, long nowNanos) {
    fleet.waiting.clear();
    fleet.submit("b", 0, tasks(executors, WHOLE_EXECUTOR, 600_000));
    return fleet.plan(nowNanos).stops().stream().map(Planner.Preemption::run).toList();
  }

  private static void report(LiveRun run, int percent, long nowNanos) {
    run.progressed(percent, nowNanos);
  }

  /** Guards against a new owner that expects all inherited runs to be done at once. */
  @Test
  void theTimeBeforeATakeoverIsNotTakenForProgress() {
    LiveRun other = fleet.run("a", 1, tasks(1, WHOLE_EXECUTOR, 10_000), 0);
    LiveRun run = LiveRun.inherited(other.run(), other.incarnation(), other.step(), NOW);
    report(run, 40, NOW);
    run.enter(LiveRun.Stage.RUNNING, NOW);
    assertEquals(6000, fleet.statistics.runTimes().expectedLeftMillis(run, NOW));
    report(run, 50, NOW + SECOND);
    assertEquals(5000, fleet.statistics.runTimes().expectedLeftMillis(run, NOW + SECOND));
  }

  /** Guards against runs that hang at the end and could never be preempted. */
  @Test
  void aRunIsTrustedToEndForOneStopTime() {
    LiveRun run = fleet.run("a", 1, tasks(1, WHOLE_EXECUTOR, 1000), 0);
    report(run, 99, NOW);
    assertEquals(List.of(), stops(2, NOW));
    // Shortly after that time; the missing progress alone does not yet lengthen the expectation.
    long after = NOW + PlanFixture.WORK.stopTime().toNanos() + SECOND / 100;
    report(run, 99, after);
    assertEquals(List.of(run), stops(2, after));
  }

  /** Guards against a hung run whose short estimate lies below the time of a stop. */
  @Test
  void theExpectedTimeOfARunWithoutProgressGrows() {
    LiveRun run = fleet.run("a", 1, tasks(1, WHOLE_EXECUTOR, 500), 0);
    report(run, 2, NOW);
    assertEquals(List.of(run), stops(2, NOW));
    assertEquals(9000, fleet.statistics.runTimes().expectedLeftMillis(run, NOW + 9 * SECOND));
  }

  /** Guards against a gang of which the same capacity is released twice, and its needless stop. */
  @Test
  void theMembersOfAGangEndTogether() {
    LiveRun first = fleet.run("a", 1, gang(2, WHOLE_EXECUTOR, 10_000), 0);
    TaskRun name = new TaskRun(first.step().name(first.step().tasks().getLast()), 1);
    LiveRun second =
        LiveRun.placed(
            name,
            fleet.executors.getLast().incarnation(),
            first.step(),
            "",
            Optional.empty(),
            NOW - SECOND);
    second.enter(LiveRun.Stage.RUNNING, NOW - SECOND);
    first.step().begin(first.step().tasks().getLast(), second);
    fleet.executors.getLast().add(second);
    report(first, 99, NOW);
    report(second, 10, NOW);
    assertEquals(2, stops(1, NOW).size());
    report(second, 99, NOW);
    assertEquals(List.of(), stops(2, NOW));
  }
}
