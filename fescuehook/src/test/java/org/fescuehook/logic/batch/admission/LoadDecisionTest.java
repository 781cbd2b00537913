package org.fescuehook.logic.batch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.admission.LoadState.WaitingWork;
import org.fescuehook.logic.batch.plan.Rank;
import org.fescuehook.logic.batch.plan.StepTiming.Prospect;
import org.junit.jupiter.api.Test;

/** A pool that drains one pool-second per second; jobs are of use for 20 s. */
class LoadDecisionTest {

  private static final String POOL = "pool";
  private static final LoadDecision.Times TIMES = new LoadDecision.Times(5000, 20_000);

  /** Just more than the pool can drain in the useful time if it is faster than measured. */
  private static final double TOO_MUCH = 25.1;

  private final List<WaitingWork> waiting = new ArrayList<>();
  private Map<String, Double> rates = Map.of(POOL, 1.0);
  private Map<String, Double> usable = Map.of(POOL, 1.0);

  private static JobDemand job(String organisation) {
    return new JobDemand(POOL, Optional.empty(), Rank.ofPriority(1), organisation, 1);
  }

  private void waits(int priority, Prospect prospect, String organisation, double work) {
    waiting.add(
        new WaitingWork(
            POOL, Optional.empty(), Rank.ofPriority(priority), prospect, organisation, work));
  }

  private Optional<LoadDecision.TooLate> decide(HeldWork held, boolean fairShares) {
    LoadState load = new LoadState(waiting, rates, usable);
    return LoadDecision.decide(job("north"), TIMES, load, held, fairShares);
  }

  private boolean refused() {
    return decide(HeldWork.NONE, false).isPresent();
  }

  @Test
  void aJobIsRefusedOnlyIfItStartsTooLateEvenWithAFasterDrain() {
    waits(1, Prospect.IN_TIME, "south", 24.9);
    assertFalse(refused());
    waits(1, Prospect.IN_TIME, "south", 0.2);
    assertTrue(refused());
  }

  @Test
  void theCallerReturnsWhenTheBacklogHasDrainedToWhatIsOfUse() {
    waits(1, Prospect.IN_TIME, "south", 33);
    LoadDecision.TooLate tooLate = decide(HeldWork.NONE, false).orElseThrow();
    assertEquals(26_400, tooLate.expectedStartMillis());
    // 33 - 25 pool-seconds, at 0.8 pool-seconds per second.
    assertEquals(10_000, tooLate.capacityMillis());
  }

  @Test
  void workOfALowerRankOrTooLateToBeOfUseDoesNotCount() {
    waits(2, Prospect.IN_TIME, "south", 100);
    waits(1, Prospect.TOO_LATE, "south", 100);
    assertFalse(refused());
    waits(0, Prospect.LATE, "south", TOO_MUCH);
    assertTrue(refused());
  }

  /** Late work of the same rank waits for work that can still meet its objective. */
  @Test
  void aJobThatCanMeetItsObjectiveBeforeLateWorkIsAccepted() {
    waits(1, Prospect.LATE, "south", 100);
    waits(1, Prospect.IN_TIME, "south", 6);
    assertFalse(refused());
    waits(1, Prospect.IN_TIME, "south", 0.3);
    assertTrue(refused());
  }

  @Test
  void workForOtherExecutorsDoesNotCount() {
    waiting.add(
        new WaitingWork(
            POOL, Optional.of("a"), Rank.ofPriority(0), Prospect.IN_TIME, "south", 100));
    waiting.add(
        new WaitingWork(
            "other", Optional.empty(), Rank.ofPriority(0), Prospect.IN_TIME, "south", 100));
    assertFalse(refused());
  }

  /** Guards against refusals by an owner that has just taken over and has measured nothing. */
  @Test
  void nothingIsRefusedWhileTheRateIsUnknown() {
    waits(1, Prospect.IN_TIME, "south", 1000);
    rates = Map.of();
    assertFalse(refused());
  }

  @Test
  void capacityThatIsAwayCountsAsComingBack() {
    waits(1, Prospect.IN_TIME, "south", 20);
    rates = Map.of(POOL, 0.5);
    assertTrue(refused());
    usable = Map.of(POOL, 0.5);
    assertFalse(refused());
    usable = Map.of(POOL, 0.0);
    assertFalse(refused());
  }

  /** The burst of a large organisation costs that organisation, where capacity is divided. */
  @Test
  void theBacklogOfAnotherOrganisationCountsByItsFairShareOnly() {
    waits(1, Prospect.IN_TIME, "south", 100);
    assertTrue(decide(HeldWork.NONE, false).isPresent());
    assertFalse(decide(HeldWork.NONE, true).isPresent());
    waits(1, Prospect.IN_TIME, "north", 13);
    assertTrue(decide(HeldWork.NONE, true).isPresent());
  }

  /** Guards against refusals of work that may be of use, for callers who may never return. */
  @Test
  void workRefusedEarlierCountsOnlyIfItIsDueAndForFourSecondsOnly() {
    waits(1, Prospect.IN_TIME, "south", 21);
    assertFalse(decide(new HeldWork(3.9, 3.9), false).isPresent());
    assertFalse(decide(new HeldWork(0, 1000), false).isPresent());
    assertTrue(decide(new HeldWork(4.1, 4.1), false).isPresent());
    waiting.clear();
    waits(1, Prospect.IN_TIME, "south", 19.9);
    assertFalse(decide(new HeldWork(1000, 1000), false).isPresent());
  }

  /** Guards against new jobs that overtake late work while callers refused earlier wait. */
  @Test
  void workRefusedEarlierGoesBeforeAJobThatWouldOvertakeLateWork() {
    waits(1, Prospect.LATE, "south", 100);
    assertFalse(decide(new HeldWork(0, 6), false).isPresent());
    assertTrue(decide(new HeldWork(0, 7), false).isPresent());
  }

  /** Newer callers return after those who were refused earlier. */
  @Test
  void workRefusedEarlierDelaysTheReturn() {
    waits(1, Prospect.IN_TIME, "south", 33);
    LoadDecision.TooLate tooLate = decide(new HeldWork(0, 8), false).orElseThrow();
    assertEquals(20_000, tooLate.capacityMillis());
  }
}
