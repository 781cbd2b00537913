package org.fescuehook.logic.batch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DrainRateTest {

  private static final double EXACT = 1e-6;

  private final DrainRate rate = new DrainRate();
  private long now;

  private void run(int halfSeconds, double workPerSecond, double occupied) {
    for (int i = 0; i < halfSeconds; i++) {
      long until = now + TimeUnit.MILLISECONDS.toNanos(500);
      rate.add(now, until, workPerSecond / 2, occupied);
      now = until;
    }
  }

  @Test
  void theRateIsUnknownUntilFiveSecondsAreMeasured() {
    run(9, 1, 1);
    assertTrue(rate.perSecond(1).isEmpty());
    run(1, 1, 1);
    assertEquals(1, rate.perSecond(1).orElseThrow(), EXACT);
  }

  /** Guards against a burst into an idle fleet that is judged by the little that it did before. */
  @Test
  void aFleetThatWasIdleDrainsByItsOccupiedCapacity() {
    run(20, 0.1, 0.1);
    assertEquals(1, rate.perSecond(1).orElseThrow(), EXACT);
  }

  @Test
  void workThatEndsBeforeItsEstimateRaisesTheRate() {
    run(20, 0.4, 0.2);
    assertEquals(2, rate.perSecond(1).orElseThrow(), EXACT);
  }

  /** Guards against an exception at an owner that stood still for longer than the window. */
  @ParameterizedTest
  @ValueSource(longs = {11, 30})
  void anIntervalLongerThanTheWindowLeavesTheRateKnown(long seconds) {
    long until = TimeUnit.SECONDS.toNanos(seconds);
    rate.add(now, until, seconds / 2.0, 1);
    now = until;
    run(1, 1, 1);
    assertTrue(rate.perSecond(1).isEmpty());
    run(10, 1, 1);
    assertEquals(1, rate.perSecond(1).orElseThrow(), EXACT);
  }

  @Test
  void aRateThatRoseCountsSoon() {
    run(20, 0.5, 1);
    run(10, 1.5, 1);
    assertEquals(1.5, rate.perSecond(1).orElseThrow(), EXACT);
  }
}
