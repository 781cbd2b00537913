package org.fescuehook.net.duty;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class WaitWatchTest {

  private final WaitWatch watch = new WaitWatch();

  @Test
  void aShortWaitIsNotTold() {
    assertFalse(watch.tells(millis(500), millis(10_000)));
  }

  @Test
  void aLongWaitIsToldOnceASecond() {
    assertTrue(watch.tells(millis(501), millis(10_000)));
    assertFalse(watch.tells(millis(900), millis(10_999)));
    assertTrue(watch.tells(millis(900), millis(11_000)));
  }

  private static long millis(long count) {
    return Duration.ofMillis(count).toNanos();
  }
}
