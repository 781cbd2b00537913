package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/**
 * Guards against gangs that use up their attempts because a third of the fleet fails everything, in
 * waves. A gang of five with members on three executors got a faulty one in two of three starts,
 * and lost an attempt within half a second each time.
 */
class FailureWavesTest {

  private static final SchedulingPreferences ON =
      new SchedulingPreferences(false, false, true, false, false, false, false);

  private static final int SEEDS = 4;

  private static FailureWaves.Result run(SchedulingPreferences scheduling, boolean ownerFails) {
    FailureWaves.Result sum = new FailureWaves.Result(0, 0, 0, 0);
    for (int seed = 1; seed <= SEEDS; seed++) {
      sum = sum.plus(new FailureWaves(seed, scheduling).run(ownerFails));
    }
    return sum;
  }

  private static void assertNoGangLost(FailureWaves.Result result) {
    assertEquals(0, result.failedByPlacement(), result::toString);
    assertEquals(0, result.unfinished(), result::toString);
  }

  @Test
  void noGangLosesItsLastAttemptOnAFaultyExecutorWhileAThirdOfTheFleetFailsInWaves() {
    assertNoGangLost(run(ON, false));
  }

  /** The next owner knows nothing of the wave, only how often each job has failed. */
  @Test
  void noGangLosesItsLastAttemptIfTheOwnerIsLostInTheMiddleOfAWave() {
    assertNoGangLost(run(ON, true));
  }

  /** Shows that the load of these tests is hard enough. */
  @Test
  void gangsLoseTheirLastAttemptsOnFaultyExecutorsWithoutStartReliability() {
    FailureWaves.Result result = run(SchedulingPreferences.ALL_OFF, false);
    assertTrue(result.failedByPlacement() > 0, result::toString);
  }
}
