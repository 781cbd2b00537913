package org.fescuehook.logic.batch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {

  private final ReturnSchedule schedule = new ReturnSchedule();

  /** Guards against 500 callers who return in the same second. */
  @Test
  void callersRefusedTogetherReturnInSecondsOfAHundred() {
    Map<Long, Integer> counts = new HashMap<>();
    for (int i = 0; i < 500; i++) {
      counts.merge(schedule.add(10_000, 3000), 1, Integer::sum);
    }
    assertEquals(Map.of(3000L, 100, 4000L, 100, 5000L, 100, 6000L, 100, 7000L, 100), counts);
  }

  @Test
  void aFewCallersAreNotDelayedBeyondWhatTheirRefusalRequires() {
    for (int i = 0; i < 50; i++) {
      assertEquals(3000, schedule.add(10_000, 2100));
    }
  }

  @Test
  void noReturnIsPostponedWithoutEnd() {
    for (int i = 0; i < 5000; i++) {
      long delay = schedule.add(10_000, 1000);
      assertTrue(delay <= 9000, () -> "delay " + delay);
    }
  }

  @Test
  void returnsOfThePastTakeNoRoom() {
    for (int i = 0; i < 100; i++) {
      schedule.add(0, 1000);
    }
    assertEquals(1000, schedule.add(5000, 1000));
  }
}
