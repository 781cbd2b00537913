package org.fescuehook.logic.batch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ResponseTimeEstimatorTest {

  private static final Duration FAST = Duration.ofMillis(4);
  private static final Duration SLOW = Duration.ofMillis(240);

  private final ResponseTimeEstimator times = new ResponseTimeEstimator(RepeatedAppend.NEVER_LATE);

  private void answered(Duration time, int count) {
    for (int i = 0; i < count; i++) {
      times.answered(time.toNanos());
    }
  }

  @Test
  void thresholdOfAFastStoreIsShortButToleratesAPauseOfThisVm() {
    assertEquals(Duration.ofMillis(60), times.lateAfter());
    answered(FAST, 50);
    assertEquals(Duration.ofMillis(60), times.lateAfter());
  }

  /** Guards against repeating every call when the store becomes 60 times slower. */
  @Test
  void thresholdExceedsResponseTimeFromTheFirstSlowAnswerOn() {
    answered(FAST, 50);
    answered(SLOW, 1);
    assertTrue(times.lateAfter().compareTo(SLOW) > 0, () -> "late after " + times.lateAfter());
    answered(SLOW, 100);
    assertTrue(times.lateAfter().compareTo(SLOW) >= 0, () -> "late after " + times.lateAfter());
  }

  @Test
  void thresholdFallsOnceTheStoreIsFastAgain() {
    answered(SLOW, 20);
    answered(FAST, 60);
    assertEquals(Duration.ofMillis(60), times.lateAfter());
  }

  /**
   * Guards against repeating the first append many times while the store is slow: it was sent 12
   * times by a VM that had just reached the store again.
   */
  @Test
  void slowReadsRaiseTheThresholdOfTheFirstAppend() {
    Duration append = SLOW.multipliedBy(2);
    ResponseTimeEstimator appends = new ResponseTimeEstimator(RepeatedAppend.NEVER_LATE, times);
    assertEquals(RepeatedAppend.NEVER_LATE, appends.lateAfter());
    answered(SLOW, 3);
    assertTrue(
        appends.lateAfter().compareTo(append) > 0, () -> "late after " + appends.lateAfter());
    appends.answered(FAST.toNanos());
    assertEquals(RepeatedAppend.NEVER_LATE, appends.lateAfter());
  }

  @Test
  void fastAnswerDoesNotRaiseTheThreshold() {
    answered(SLOW, 20);
    Duration before = times.lateAfter();
    answered(FAST, 1);
    assertTrue(
        times.lateAfter().compareTo(before) <= 0, () -> before + " became " + times.lateAfter());
  }
}
