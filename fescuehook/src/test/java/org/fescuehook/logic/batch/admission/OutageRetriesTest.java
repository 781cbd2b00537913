package org.fescuehook.logic.batch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against callers who use up their five tries before an outage of 12 s is over. */
class OutageRetriesTest {

  private static final long LONGEST_OUTAGE_MILLIS = 12_000;

  @Test
  void theTriesOfACallerSpanTheLongestOutageWheneverItComes() {
    for (long firstAge = 0; firstAge <= LONGEST_OUTAGE_MILLIS; firstAge += 100) {
      long age = firstAge;
      for (int refusals = 1; refusals < OutageRetries.CALLER_TRIES; refusals++) {
        age += OutageRetries.minDelayMillis(age, refusals);
      }
      assertTrue(
          age >= LONGEST_OUTAGE_MILLIS, "first refused at " + firstAge + ", last try " + age);
    }
  }

  @Test
  void aCallerWithItsLastTryReturnsAfterTheLongestOutage() {
    assertEquals(8000, OutageRetries.minDelayMillis(4000, 4));
  }

  /** A caller who comes late in a usual outage of 4 to 6 s does not wait for the longest one. */
  @Test
  void aNewCallerReturnsSoonWhenTheOutageIsOld() {
    assertEquals(1500, OutageRetries.minDelayMillis(6000, 1));
  }

  @Test
  void anOutageLongerThanExpectedLeavesCallersTheirTries() {
    assertEquals(1000, OutageRetries.minDelayMillis(60_000, 1));
    assertEquals(4000, OutageRetries.minDelayMillis(60_000, 9));
  }
}
