package org.fescuehook.logic.batch.plan;

import static org.fescuehook.logic.batch.plan.PlanFixture.NOW;
import static org.fescuehook.logic.batch.plan.PlanFixture.WHOLE_EXECUTOR;
import static org.fescuehook.logic.batch.plan.PlanFixture.tasks;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/** What the use of capacity by organisations changes in a plan. */
class FairSharePlanTest {

  private static final long HALF_LIFE_NANOS = Duration.ofSeconds(20).toNanos();
  private static final List<BatchOrganisation> EQUALS =
      List.of(organisation("a", 0), organisation("b", 0));
  private static final SchedulingPreferences FAIR_SHARES =
      new SchedulingPreferences(false, false, false, true, false, false, false);

  private final PlanFixture fleet = new PlanFixture(8, 4, FAIR_SHARES);

  private static BatchOrganisation organisation(String name, int guaranteed) {
    return new BatchOrganisation(name, Set.of(), guaranteed);
  }

  private static BatchStep withWholeMemory(BatchStep step) {
    ResourceVector demand = step.demand();
    return new BatchStep(
        step.count(),
        new ResourceVector(demand.milliCores(), 262_144, demand.accelerators()),
        step.estimateMillis(),
        step.dependsOn(),
        step.placement(),
        step.checkpointing(),
        step.gang(),
        step.image());
  }

  private void submit(String organisation, int count) {
    for (int i = 0; i < count; i++) {
      fleet.submit(organisation, 0, tasks(1, WHOLE_EXECUTOR, 1000));
    }
  }

  /** Guards against an organisation that fills the fleet in one plan since it submitted first. */
  @Test
  void onePlanDividesTheFleetAmongOrganisationsThatUseNothingYet() {
    submit("a", 20);
    submit("b", 20);
    fleet.observe(EQUALS, NOW);
    assertEquals(4, Collections.frequency(fleet.startedOrganisations(), "b"));
  }

  /** The same plan with the switch off follows acceptance alone. */
  @Test
  void withoutFairSharesThePlanFollowsAcceptance() {
    PlanFixture plain = new PlanFixture(8, 4, SchedulingPreferences.ALL_OFF);
    for (String organisation : List.of("a", "b")) {
      for (int i = 0; i < 20; i++) {
        plain.submit(organisation, 0, tasks(1, WHOLE_EXECUTOR, 1000));
      }
    }
    plain.observe(EQUALS, NOW);
    assertEquals(Collections.nCopies(8, "a"), plain.startedOrganisations());
  }

  @Test
  void allCapacityIsUsedWhenOnlyOneOrganisationWaits() {
    submit("a", 20);
    fleet.observe(EQUALS, NOW);
    assertEquals(8, fleet.plan().starts().size());
  }

  /** Guards against plans that reorder equals because of a single task more or less. */
  @Test
  void smallDifferencesOfUseKeepTheOrderOfAcceptance() {
    fleet.run("a", 1, tasks(1, 1, 1000), 0);
    fleet.observe(EQUALS, NOW);
    submit("a", 1);
    submit("b", 1);
    assertEquals(List.of("a", "b"), fleet.startedOrganisations());
  }

  @Test
  void theOrganisationWithLessUseGoesFirst() {
    for (int executor = 0; executor < 4; executor++) {
      fleet.run("a", 1, tasks(1, WHOLE_EXECUTOR, 1000), executor);
    }
    fleet.observe(EQUALS, NOW);
    submit("a", 1);
    submit("b", 1);
    assertEquals(List.of("b", "a"), fleet.startedOrganisations());
  }

  @Test
  void aGuaranteeRaisesTheShareOfAnOrganisation() {
    fleet.observe(List.of(organisation("a", 48), organisation("b", 0)), NOW);
    submit("a", 20);
    submit("b", 20);
    assertEquals(7, Collections.frequency(fleet.startedOrganisations(), "a"));
  }

  /** Memory is the bottleneck of some work, and its accelerators alone would hide its use. */
  @Test
  void theLargestShareOfAResourceCounts() {
    fleet.run("a", 1, withWholeMemory(tasks(1, 1, 1000)), 0);
    fleet.observe(EQUALS, NOW);
    assertEquals(1 / 8.0 / 0.5, fleet.statistics.usage().of("a"), 1e-9);
  }

  @Test
  void useIsForgottenOverTime() {
    fleet.run("a", 1, tasks(1, WHOLE_EXECUTOR, 1000), 0);
    fleet.observe(EQUALS, NOW);
    fleet.executors.getFirst().remove(fleet.executors.getFirst().runs().iterator().next());
    fleet.observe(EQUALS, NOW);
    double use = fleet.statistics.usage().of("a");
    fleet.observe(EQUALS, NOW + HALF_LIFE_NANOS);
    assertEquals(use / 2, fleet.statistics.usage().of("a"), 1e-9);
    fleet.observe(EQUALS, NOW + 100 * HALF_LIFE_NANOS);
    assertTrue(fleet.statistics.usage().organisations().isEmpty());
  }

  /** Among runs that cost about the same to stop, the organisation with more use gives way. */
  @Test
  void theOrganisationThatExceedsItsShareIsPreemptedFirst() {
    fleet.run("b", 1, tasks(1, WHOLE_EXECUTOR, 1000), 7);
    for (int executor = 0; executor < 7; executor++) {
      fleet.run("a", 1, tasks(1, WHOLE_EXECUTOR, 1000), executor);
    }
    fleet.observe(EQUALS, NOW);
    fleet.submit("b", 0, tasks(1, WHOLE_EXECUTOR, 60_000));
    List<Planner.Preemption> stops = fleet.plan().stops();
    assertEquals(List.of("a"), stops.stream().map(FairSharePlanTest::organisation).toList());
  }

  /** Guards against use that lets a preemption discard more than the limit, and so fail. */
  @Test
  void useDoesNotOutweighTheWorkThatAPreemptionDiscards() {
    LiveRun longer = fleet.run("a", 1, tasks(1, WHOLE_EXECUTOR, 1000), 0);
    longer.enter(LiveRun.Stage.RUNNING, NOW - Duration.ofMillis(1900).toNanos());
    for (int executor = 1; executor < 8; executor++) {
      fleet.run("b", 1, tasks(1, WHOLE_EXECUTOR, 1000), executor);
    }
    fleet.observe(List.of(organisation("a", 0), organisation("b", 60)), NOW);
    fleet.submit("b", 0, tasks(1, WHOLE_EXECUTOR, 60_000));
    assertNotEquals(longer, fleet.plan().stops().getFirst().run());
  }

  /** Guards against capacity freed for one step that goes to another, so that more is stopped. */
  @Test
  void aStepForWhichRunsAreStoppedKeepsItsPlace() {
    for (int executor = 0; executor < 4; executor++) {
      fleet.run("a", 1, tasks(1, WHOLE_EXECUTOR, 1000), executor);
    }
    fleet.observe(EQUALS, NOW);
    submit("a", 1);
    submit("b", 1);
    fleet.waiting.getFirst().step().markStopsOrdered();
    assertEquals(List.of("a", "b"), fleet.startedOrganisations());
  }

  private static String organisation(Planner.Preemption stop) {
    return stop.run().step().job().job().organisation();
  }
}
