package org.fescuehook.logic.batch.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.logic.batch.plan.StepTiming.Prospect;
import org.junit.jupiter.api.Test;

class StepTimingTest {

  /** Returns the timing of a step with an objective of 10 ns, of which 6 are spare. */
  private static StepTiming waited(long nanos) {
    return new StepTiming(nanos, nanos, 6, 10);
  }

  @Test
  void workIsInTimeWhileItHasSpareTime() {
    assertEquals(Prospect.IN_TIME, waited(6).prospect());
    assertEquals(Prospect.LATE, waited(7).prospect());
  }

  @Test
  void workIsUsefulUpToThreeTimesItsObjective() {
    assertEquals(Prospect.LATE, waited(26).prospect());
    assertEquals(Prospect.TOO_LATE, waited(27).prospect());
  }

  /** Guards against callers who estimate well and whose jobs count as too late from the start. */
  @Test
  void workThatUsuallyTakesLongerIsNotGivenUpOrPreferredFromTheStart() {
    StepTiming timing = new StepTiming(0, 0, -30, 10, 6, 6);
    assertEquals(Prospect.LATE, timing.prospect());
    assertFalse(timing.nearlyLate());
  }

  @Test
  void workIsNearlyLateOnceItsSpareTimeIsAlmostUsedUp() {
    assertFalse(waited(4).nearlyLate());
    assertTrue(waited(5).nearlyLate());
  }
}
