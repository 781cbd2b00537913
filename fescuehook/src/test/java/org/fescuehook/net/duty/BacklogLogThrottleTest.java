package org.fescuehook.net.duty;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class BacklogLogThrottleTest {

  private final BacklogLogThrottle throttle = new BacklogLogThrottle();

  @Test
  void aShortWaitIsNotLogged() {
    assertFalse(throttle.shouldLog(millis(500), millis(10_000)));
  }

  @Test
  void aLongWaitIsLoggedOncePerSecond() {
    assertTrue(throttle.shouldLog(millis(501), millis(10_000)));
    assertFalse(throttle.shouldLog(millis(900), millis(10_999)));
    assertTrue(throttle.shouldLog(millis(900), millis(11_000)));
  }

  private static long millis(long count) {
    return Duration.ofMillis(count).toNanos();
  }
}
