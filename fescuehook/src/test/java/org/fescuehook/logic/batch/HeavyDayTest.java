package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class HeavyDayTest {

  private static final int DAYS = Integer.getInteger("days", 6);

  @Test
  void heavyDaysAreServedWithLittleThrownAway() {
    for (double load : new double[] {0.6, 1.0, 1.4}) {
      long start = System.nanoTime();
      HeavyDay.Result result = HeavyDay.mean(DAYS, 33, load);
      System.out.printf(
          "load %.1f: credit %.3f wasted %.3f net %.3f by kind %s (%d ms)%n",
          load,
          result.credit(),
          result.wasted(),
          result.credit() - result.wasted(),
          result.byKind(),
          (System.nanoTime() - start) / 1_000_000);
      assertTrue(result.credit() > 0.3);
    }
  }
}
