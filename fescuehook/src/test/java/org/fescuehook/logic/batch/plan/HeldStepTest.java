package org.fescuehook.logic.batch.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.advice.StepAdvice;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.statistics.StartEvidence;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/** Guards against plans that start nothing of a step and name no rule, or another one, for it. */
class HeldStepTest {

  private static final int EXECUTORS = 8;
  private static final int PER_RACK = 4;

  private final PlanFixture fleet =
      new PlanFixture(
          EXECUTORS,
          PER_RACK,
          new SchedulingPreferences(false, false, true, false, false, false, false));

  private void occupy(int from, int to, int accelerators) {
    for (int i = from; i < to; i++) {
      fleet.run("north", 0, PlanFixture.tasks(1, accelerators, 60_000), i);
    }
  }

  private void doubt(int from, int to) {
    BatchContext context = new BatchContext(PlanFixture.NOW, 0);
    for (int i = from; i < to; i++) {
      Incarnation executor = fleet.executors.get(i).incarnation();
      for (StartEvidence evidence : StartEvidence.values()) {
        fleet.statistics.reliability().observed(executor, evidence, context);
      }
    }
  }

  private static BatchStep near(String rack, int accelerators) {
    BatchStep.PlacementRule rule =
        new BatchStep.PlacementRule(false, Optional.empty(), Optional.of(new RackId(rack)), 0);
    return new BatchStep(
        1,
        new ResourceVector(8_000 * accelerators, 32_768 * accelerators, accelerators),
        60_000,
        List.of(),
        rule,
        false,
        false,
        "image");
  }

  private void assertHeld(HeldBy rule, WaitingStep waiting) {
    Planner.Plan plan = fleet.plan();
    assertEquals(0, plan.starts().stream().filter(s -> s.step() == waiting.step()).count());
    assertEquals(rule, plan.heldBy(waiting));
  }

  @Test
  void aStepThatStartsIsHeldByNothing() {
    WaitingStep waiting = fleet.submit("north", 2, PlanFixture.tasks(1, 1, 1000));
    Planner.Plan plan = fleet.plan();
    assertEquals(1, plan.starts().size());
    assertEquals(HeldBy.NOTHING, plan.heldBy(waiting));
  }

  @Test
  void capacityKeptForUrgentWork() {
    occupy(0, 6, PlanFixture.WHOLE_EXECUTOR);
    assertHeld(HeldBy.URGENT_RESERVE, fleet.submit("north", 2, PlanFixture.tasks(1, 1, 1000)));
  }

  @Test
  void tooLittleCapacity() {
    occupy(0, EXECUTORS, PlanFixture.WHOLE_EXECUTOR);
    assertHeld(HeldBy.CAPACITY, fleet.submit("north", 0, PlanFixture.tasks(1, 1, 1000)));
  }

  @Test
  void aFullRackNearTheData() {
    occupy(0, PER_RACK, PlanFixture.WHOLE_EXECUTOR);
    assertHeld(HeldBy.NEARNESS, fleet.submit("north", 0, near("r0", 1)));
  }

  @Test
  void executorsThatAreDoubted() {
    doubt(0, EXECUTORS);
    assertHeld(HeldBy.RELIABILITY, fleet.submit("north", 0, PlanFixture.gang(2, 8, 1000)));
  }

  @Test
  void asManyTrialsAsMayBeMade() {
    doubt(0, EXECUTORS);
    for (int i = 0; i < EXECUTORS; i++) {
      fleet.submit("north", 2, PlanFixture.tasks(1, 1, 1000));
    }
    WaitingStep last = fleet.submit("north", 2, PlanFixture.tasks(1, 1, 1000));
    assertHeld(HeldBy.TRIALS, last);
  }

  @Test
  void executorsOnWhichItHasFailed() {
    occupy(1, EXECUTORS, PlanFixture.WHOLE_EXECUTOR);
    WaitingStep waiting = fleet.submit("north", 0, PlanFixture.tasks(1, 1, 1000));
    waiting
        .step()
        .fail(
            waiting.step().tasks().getFirst(),
            1,
            fleet.executors.getFirst().incarnation(),
            PlanFixture.NOW);
    assertHeld(HeldBy.AVOIDANCE, waiting);
  }

  @Test
  void executorsWithoutProofBeforeALastAttempt() {
    WaitingStep waiting = fleet.submit("north", 0, PlanFixture.tasks(1, 1, 1000));
    Incarnation faulty = fleet.executors.getFirst().incarnation();
    for (int run = 1; run < waiting.maxAttempts(); run++) {
      waiting.step().fail(waiting.step().tasks().getFirst(), run, faulty, PlanFixture.NOW);
    }
    assertHeld(HeldBy.PROOF, waiting);
  }

  @Test
  void missingAdvice() {
    WaitingStep added = fleet.submit("north", 0, PlanFixture.tasks(1, 1, 1000));
    WaitingStep advised = added.advised(Optional.of(new StepAdvice.Ticketed(Set.of(), Set.of())));
    fleet.waiting.set(0, advised);
    assertHeld(HeldBy.ADVICE, advised);
  }

  @Test
  void runsThatAreBeingStoppedForIt() {
    occupy(2, EXECUTORS, PlanFixture.WHOLE_EXECUTOR);
    for (int i = 0; i < 2; i++) {
      fleet
          .run("north", 2, PlanFixture.tasks(1, PlanFixture.WHOLE_EXECUTOR, 60_000), i)
          .enter(LiveRun.Stage.STOPPING, PlanFixture.NOW);
    }
    WaitingStep waiting = fleet.submit("north", 0, PlanFixture.gang(2, 8, 1000));
    assertHeld(HeldBy.STOPS, waiting);
  }
}
