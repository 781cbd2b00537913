package org.fescuehook.logic.batch.plan;

import static org.fescuehook.logic.batch.plan.PlanFixture.NOW;
import static org.fescuehook.logic.batch.plan.PlanFixture.WHOLE_EXECUTOR;
import static org.fescuehook.logic.batch.plan.PlanFixture.gang;
import static org.fescuehook.logic.batch.plan.PlanFixture.tasks;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/** Which executors a step gets if their speeds differ. */
class PlacementSpeedTest {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private final PlanFixture fleet =
      new PlanFixture(
          8, 2, new SchedulingPreferences(true, true, false, false, false, false, false));

  /** Returns the free capacity if the first two executors, a rack, have a certain speed. */
  private FleetCapacity firstRackAt(double speed) {
    Map<ExecutorState, Double> speeds =
        Map.of(
            fleet.executors.get(0), Math.log(speed),
            fleet.executors.get(1), Math.log(speed));
    return FleetCapacity.available(
        fleet.executors,
        new PlannedTasks(),
        new SpeedClasses(speeds),
        SchedulingStatistics.none(),
        NOW);
  }

  private WaitingStep waiting(int priority, BatchStep spec, StepTiming timing) {
    WaitingStep step = fleet.submit("a", priority, spec);
    return new WaitingStep(
        step.step(), step.tasks(), "pool", step.rank(), 1, timing, Optional.empty());
  }

  private static StepTiming timing(long waited, long spare, long objective) {
    return new StepTiming(waited * SECOND, 0, spare * SECOND, objective * SECOND);
  }

  /** Guards against gangs that never start where all executors of their rack are slow. */
  @Test
  void aGangStartsOnVerySlowExecutorsIfThereAreNoOthers() {
    for (int executor = 2; executor < 8; executor++) {
      fleet.run("a", 1, tasks(1, WHOLE_EXECUTOR, 1000), executor);
    }
    WaitingStep step = fleet.submit("a", 1, gang(2, WHOLE_EXECUTOR, 1000));
    assertTrue(firstRackAt(0.4).tightestGroup(step, 2, true).isPresent());
  }

  /** Guards against gangs that are held back although the faster executors are free. */
  @Test
  void aGangThatFitsOntoFasterExecutorsStartsThereAtOnce() {
    WaitingStep step = waiting(0, gang(2, WHOLE_EXECUTOR, 50_000), timing(0, 10, 60));
    FleetCapacity capacity = firstRackAt(0.45);
    RunForecast forecast = new RunForecast(fleet.statistics.runTimes(), run -> false, SECOND, NOW);
    List<TaskPlacement> slow =
        FleetCapacity.placeTasks(step, step.tasks(), capacity.groups(step, true).getFirst());
    assertTrue(new FasterPlace(forecast, 9 * SECOND).find(step, slow, capacity, true).get().free());
    assertTrue(new FasterPlace(forecast, 0).find(step, slow, capacity, true).isEmpty());
  }

  /** Guards against late work that takes the usual executors before slower ones that suffice. */
  @Test
  void lateWorkTakesSlowExecutorsWithWhichItsResultIsOfUse() {
    WaitingStep late = waiting(2, tasks(1, 1, 30_000), timing(40, 30, 60));
    assertTrue(PlacementSpeed.of(late).compare(-1, 0) < 0);
    WaitingStep later = waiting(2, tasks(1, 1, 30_000), timing(145, 30, 60));
    assertTrue(PlacementSpeed.of(later).compare(0, -1) < 0);
  }

  /** Guards against small tasks that open whole executors because these are slow. */
  @Test
  void aSingleTaskKeepsWholeExecutorsFree() {
    fleet.run("a", 1, tasks(1, 1, 1000), 5);
    WaitingStep step = fleet.submit("a", 2, tasks(1, 1, 1000));
    List<CandidateExecutor> group = firstRackAt(0.6).groups(step, false).getFirst();
    List<TaskPlacement> placed = FleetCapacity.placeTasks(step, step.tasks(), group);
    assertEquals(fleet.executors.get(5), placed.getFirst().executor());
  }
}
