package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/**
 * A fleet with three speeds and a burst of urgent gangs. Guards against placing them without regard
 * to speed: a gang advances with its slowest member, so that it misses its objective although
 * executors that are fast enough are free or run work that has time to spare.
 */
class UnevenFleetTest {

  private static final int SIMULATIONS = 6;

  private static final SchedulingPreferences SPEEDS =
      new SchedulingPreferences(true, false, false, false, false, false, false);

  private static HeavyLoadSimulation.Result mean(SchedulingPreferences scheduling, double load) {
    return HeavyLoadSimulation.mean(WorkloadProfile.THREE_SPEEDS, scheduling, SIMULATIONS, load);
  }

  /** Returns the mean share of urgent work that is earned although the owner is lost. */
  private static double urgentWithLostOwner(SchedulingPreferences scheduling) {
    double sum = 0;
    for (int seed = 1; seed <= SIMULATIONS; seed++) {
      HeavyLoadSimulation simulation =
          new HeavyLoadSimulation(WorkloadProfile.THREE_SPEEDS, scheduling, seed, 1);
      simulation.loseOwnerAt(12_000);
      simulation.loseOwnerAt(30_000);
      sum += simulation.run().byQueue().get(TestFixtures.URGENT);
    }
    return sum / SIMULATIONS;
  }

  /**
   * Guards against an owner that knows no speeds after a takeover. The owner is lost in the burst,
   * while it learns the speeds, and again later.
   */
  @Test
  void nextOwnerLearnsTheSpeedsAgain() {
    double without = urgentWithLostOwner(SchedulingPreferences.ALL_OFF);
    double with = urgentWithLostOwner(SPEEDS);
    assertTrue(with > without + 0.1, () -> without + ", " + with);
  }

  @Test
  void urgentBurstIsServedByFastExecutors() {
    HeavyLoadSimulation.Result without = mean(SchedulingPreferences.ALL_OFF, 1);
    HeavyLoadSimulation.Result with = mean(SPEEDS, 1);
    assertTrue(with.credit() > without.credit() + 0.1, () -> without + ", " + with);
  }
}
