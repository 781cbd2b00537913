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

  private static void assertServed(double load, double leastNet, double mostWasted) {
    assertServed(DayShape.BOTH, load, leastNet, mostWasted);
  }

  private static void assertServed(
      DayShape shape, double load, double leastNet, double mostWasted) {
    HeavyDay.Result result = HeavyDay.mean(shape, DAYS, load);
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

  /**
   * Bulk work that filled the room of urgent work was thrown out up to three times a task: 0.03 to
   * 0.05 of a day's worth. Now it leaves that room alone also when it is pressed.
   */
  @Test
  void anOverfullDayWithSickExecutorsThrowsLittleAway() {
    assertServed(DayShape.HUMIDADE_VIVA, 1.3, 0.77, 0.025);
    assertServed(DayShape.LAKESHORE, 1.3, 0.74, 0.025);
  }

  @Test
  void aFullDayWithSickExecutorsIsMostlyServedInTime() {
    assertServed(DayShape.HUMIDADE_VIVA, 1.0, 0.84, 0.025);
    assertServed(DayShape.LAKESHORE, 1.0, 0.86, 0.025);
  }
}
