package org.fescuehook.logic.batch.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.fescuehook.logic.batch.BatchContext;
import org.junit.jupiter.api.Test;

/**
 * From when on a new owner would know of a wave of failures. Guards against waits beside a sound
 * fleet, and against last attempts in a wave that the former owner had seen.
 */
class FormerFailuresTest {

  private static final long BEGUN_MILLIS = 50_000;
  private static final long WALL_MILLIS = 1_700_000_000_000L;
  private static final BatchContext BEGIN = new BatchContext(nanos(BEGUN_MILLIS), WALL_MILLIS);

  private static long nanos(long millis) {
    return Duration.ofMillis(millis).toNanos();
  }

  /** Returns statistics of an owner before which steps failed, each some milliseconds ago. */
  private static StartReliability after(Long... agesMillis) {
    List<Long> millis = List.of(agesMillis).stream().map(age -> WALL_MILLIS - age).toList();
    StartReliability reliability = new StartReliability(true);
    reliability.restore(FormerFailures.of(millis, BEGIN), BEGIN.nowNanos());
    return reliability;
  }

  private static void assertKnowsWavesAfter(long millis, StartReliability reliability) {
    assertFalse(reliability.knowsWaves(nanos(BEGUN_MILLIS + millis - 1)));
    assertTrue(reliability.knowsWaves(nanos(BEGUN_MILLIS + millis)));
  }

  @Test
  void theFailuresOfTwoStepsAreNoWave() {
    assertTrue(after().knowsWaves(BEGIN.nowNanos()));
    assertTrue(after(0L, 0L).knowsWaves(BEGIN.nowNanos()));
  }

  @Test
  void aWaveIsOverSixSecondsAfterTheFailuresThatMayShowIt() {
    assertKnowsWavesAfter(2000, after(100L, 4000L, 5000L, 1000L));
  }

  @Test
  void stepsThatFailedLongAgoDoNotCount() {
    assertTrue(after(0L, 0L, 6000L, 60_000L).knowsWaves(BEGIN.nowNanos()));
  }

  /** The clock of the former owner may have been ahead. */
  @Test
  void aTimeInTheFutureCountsAsNow() {
    assertKnowsWavesAfter(6000, after(-5000L, -100_000L, 0L));
  }

  @Test
  void withoutKnowledgeItLooksForAWaveForSixSeconds() {
    StartReliability reliability = new StartReliability(true);
    reliability.observe(BEGIN);
    assertKnowsWavesAfter(6000, reliability);
  }

  @Test
  void newestFirst() {
    FormerFailures failures = FormerFailures.of(List.of(WALL_MILLIS - 20, WALL_MILLIS), BEGIN);
    assertEquals(List.of(nanos(BEGUN_MILLIS), nanos(BEGUN_MILLIS - 20)), failures.newestFirst());
  }
}
