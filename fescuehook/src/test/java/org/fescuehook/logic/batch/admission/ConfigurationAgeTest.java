package org.fescuehook.logic.batch.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ConfigurationAgeTest {

  private final ConfigurationAge age = new ConfigurationAge();

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @Test
  void aConfigurationThatWasNeverReadIsNotCurrent() {
    assertFalse(age.current(0));
  }

  @Test
  void aConfigurationIsCurrentForThreeSecondsAfterTheLastRead() {
    age.read(millis(1000));
    assertTrue(age.current(millis(4000)));
    assertFalse(age.current(millis(4001)));
  }

  /** Reads are reported in any order if several are under way. */
  @Test
  void aReadThatWasSentEarlierChangesNothing() {
    age.read(millis(1000));
    age.read(millis(500));
    assertTrue(age.current(millis(4000)));
  }
}
