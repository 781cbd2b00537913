package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Heavy days in the users' proportions: a backlog of long gangs and bulk jobs, and a burst of
 * urgent gangs that arrive while all is full. The bounds stand a few hundredths below what
 * docs/MEASUREMENTS.md gives, so that a policy that loses the headroom or displaces without limit
 * fails them.
 */
class HeavyDayTest {

  private static final int DAYS = 6;
  private static final int EXECUTORS = 33;

  private static void assertServed(double load, double leastNet, double mostWasted) {
    HeavyDay.Result result = HeavyDay.mean(DAYS, EXECUTORS, load);
    double net = result.credit() - result.wasted();
    assertTrue(net >= leastNet, () -> "load " + load + ": " + result);
    assertTrue(result.wasted() <= mostWasted, () -> "load " + load + ": " + result);
  }

  @Test
  void aDayWithRoomIsServedWhole() {
    assertServed(0.6, 0.95, 0.02);
  }

  @Test
  void aFullDayLosesLittle() {
    assertServed(1.0, 0.94, 0.03);
  }

  @Test
  void anOverfullDayThrowsLittleAway() {
    assertServed(1.4, 0.8, 0.05);
  }
}
