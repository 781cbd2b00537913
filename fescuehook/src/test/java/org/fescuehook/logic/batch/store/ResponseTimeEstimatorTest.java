package org.fescuehook.logic.batch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ResponseTimeEstimatorTest {

  private static final Duration USUAL = Duration.ofMillis(4);
  private static final Duration SLOW = Duration.ofMillis(240);

  private final ResponseTimeEstimator times = new ResponseTimeEstimator(RepeatedAppend.NEVER_LATE);

  private void answered(Duration time, int count) {
    for (int i = 0; i < count; i++) {
      times.answered(time.toNanos());
    }
  }

  @Test
  void aQuickStoreIsAskedAgainSoonAndNotForAPauseOfThisVm() {
    assertEquals(Duration.ofMillis(60), times.late());
    answered(USUAL, 50);
    assertEquals(Duration.ofMillis(60), times.late());
  }

  /** Pattern: the store turns 60 times slower; it must not be asked again for each answer. */
  @Test
  void theFirstAnswersOfASlowStoreShowThatItIsNotLate() {
    answered(USUAL, 50);
    answered(SLOW, 1);
    assertTrue(times.late().compareTo(SLOW) > 0, () -> "late after " + times.late());
    answered(SLOW, 100);
    assertTrue(times.late().compareTo(SLOW) >= 0, () -> "late after " + times.late());
  }

  @Test
  void aStoreThatIsQuickAgainIsAskedAgainSoon() {
    answered(SLOW, 20);
    answered(USUAL, 60);
    assertEquals(Duration.ofMillis(60), times.late());
  }

  /** Pattern: a VM has come back to a slow store, and its first append was sent 12 times. */
  @Test
  void whatReadsHaveShownOfASlowStoreCountsForTheFirstAppend() {
    Duration append = SLOW.multipliedBy(2);
    ResponseTimeEstimator appends = new ResponseTimeEstimator(RepeatedAppend.NEVER_LATE, times);
    assertEquals(RepeatedAppend.NEVER_LATE, appends.late());
    answered(SLOW, 3);
    assertTrue(appends.late().compareTo(append) > 0, () -> "late after " + appends.late());
    appends.answered(USUAL.toNanos());
    assertEquals(RepeatedAppend.NEVER_LATE, appends.late());
  }

  @Test
  void anAnswerSoonerThanUsualDoesNotMakeLaterOnesSeemLessLate() {
    answered(SLOW, 20);
    Duration before = times.late();
    answered(USUAL, 1);
    assertTrue(times.late().compareTo(before) <= 0, () -> before + " became " + times.late());
  }
}
