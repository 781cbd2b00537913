package org.fescuehook.logic.batch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.fescuehook.logic.batch.store.SlowStoreDetector.Transition;
import org.junit.jupiter.api.Test;

/**
 * Guards against a store that is slow without being noticed: it takes 0.7 s for each append for six
 * seconds, and nothing fails.
 */
class SlowStoreDetectorTest {

  private final SlowStoreDetector detector = new SlowStoreDetector();

  private List<Transition> changes(Integer... millis) {
    return Stream.of(millis).map(time -> detector.stored(Duration.ofMillis(time))).toList();
  }

  @Test
  void startAndEndOfSlownessAreReportedOnce() {
    assertEquals(
        List.of(
            Transition.NONE,
            Transition.SLOWER,
            Transition.NONE,
            Transition.NONE,
            Transition.QUICKER,
            Transition.NONE),
        changes(4, 700, 690, 710, 5, 4));
  }

  @Test
  void timeBetweenTheThresholdsChangesNothing() {
    assertEquals(
        List.of(Transition.NONE, Transition.SLOWER, Transition.NONE, Transition.QUICKER),
        changes(100, 200, 100, 4));
  }
}
