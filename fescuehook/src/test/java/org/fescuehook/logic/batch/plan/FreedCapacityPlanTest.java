package org.fescuehook.logic.batch.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.time.Duration;
import java.util.List;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.StartEvidence;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against capacity that is freed for a step by stopping other runs and then given to work of
 * lower rank, because the step did not accept an executor when the runs had ended.
 */
class FreedCapacityPlanTest {

  private static final long STOPPED = PlanFixture.NOW + Duration.ofMillis(500).toNanos();
  private static final long EXPIRED = PlanFixture.NOW + Duration.ofSeconds(4).toNanos();

  private final PlanFixture fixture =
      new PlanFixture(
          2, 2, new SchedulingPreferences(false, false, true, false, false, false, false));
  private WaitingStep urgent;

  /** Both executors are full; all runs on them are stopped for an urgent gang, and have ended. */
  @BeforeEach
  void stopRunsForAnUrgentGang() {
    for (int executor = 0; executor < 2; executor++) {
      fixture.run("o", 2, PlanFixture.tasks(1, PlanFixture.WHOLE_EXECUTOR, 2000), executor);
    }
    urgent = fixture.submit("o", 0, PlanFixture.gang(2, PlanFixture.WHOLE_EXECUTOR, 60_000));
    Planner.Plan plan = fixture.plan();
    assertEquals(2, plan.stops().size());
    for (Planner.Preemption stop : plan.stops()) {
      LiveRun run = stop.run();
      fixture.executors.forEach(executor -> executor.remove(run));
      run.step().end(run.step().tasks().getFirst());
    }
  }

  private void doubtAnExecutor() {
    ExecutorState executor = fixture.executors.getFirst();
    BatchContext context = new BatchContext(STOPPED, 0);
    for (StartEvidence evidence : StartEvidence.values()) {
      fixture.statistics.reliability().observed(executor.incarnation(), evidence, context);
    }
  }

  private static List<StepProgress> started(Planner.Plan plan) {
    return plan.starts().stream().map(TaskPlacement::step).distinct().toList();
  }

  @Test
  void theStepStartsInThePlacesThatWereFreed() {
    assertEquals(List.of(urgent.step()), started(fixture.planAt(STOPPED)));
  }

  @Test
  void workOfLowerRankDoesNotStartInPlacesThatAreKept() {
    doubtAnExecutor();
    fixture.submit("o", 1, PlanFixture.tasks(1, 1, 2000));
    assertEquals(List.of(), started(fixture.planAt(STOPPED)));
  }

  @Test
  void placesAreNotKeptForLong() {
    doubtAnExecutor();
    WaitingStep lower = fixture.submit("o", 1, PlanFixture.tasks(1, 1, 2000));
    assertEquals(List.of(), started(fixture.planAt(STOPPED)));
    assertEquals(List.of(lower.step()), started(fixture.planAt(EXPIRED)));
  }

  @Test
  void workOfHigherRankStartsInPlacesThatAreKept() {
    doubtAnExecutor();
    WaitingStep higher = fixture.submitGuaranteed(PlanFixture.tasks(1, 1, 2000));
    assertEquals(List.of(higher.step()), started(fixture.planAt(STOPPED)));
  }

  @Test
  void noFurtherRunsAreStoppedWhileThePlacesAreKept() {
    doubtAnExecutor();
    addExecutorsInUse();
    assertEquals(List.of(), fixture.planAt(STOPPED).stops());
    assertNotEquals(List.of(), fixture.planAt(EXPIRED).stops());
  }

  private void addExecutorsInUse() {
    for (int executor = 2; executor < 4; executor++) {
      fixture.addExecutor("other");
      fixture.run("o", 2, PlanFixture.tasks(1, PlanFixture.WHOLE_EXECUTOR, 2000), executor);
    }
  }
}
