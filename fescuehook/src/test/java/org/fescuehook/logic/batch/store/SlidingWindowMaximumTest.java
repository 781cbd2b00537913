package org.fescuehook.logic.batch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.fescuehook.logic.batch.BatchContext;
import org.junit.jupiter.api.Test;

class SlidingWindowMaximumTest {

  private final SlidingWindowMaximum times = new SlidingWindowMaximum();

  private static BatchContext at(long millis) {
    return new BatchContext(Duration.ofMillis(millis).toNanos(), 0);
  }

  @Test
  void maximumIsZeroWithoutSamples() {
    assertEquals(0, times.longest(at(0)));
  }

  @Test
  void sampleLeavesTheWindowAfterTenSeconds() {
    times.add(900, at(1000));
    times.add(40, at(2000));
    times.add(30, at(3000));
    assertEquals(900, times.longest(at(11_000)));
    assertEquals(40, times.longest(at(11_001)));
    assertEquals(30, times.longest(at(12_001)));
    assertEquals(0, times.longest(at(13_001)));
  }

  @Test
  void longerSampleBecomesTheMaximumAtOnce() {
    times.add(4, at(0));
    times.add(1800, at(500));
    assertEquals(1800, times.longest(at(500)));
  }
}
