package org.fescuehook.net.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class DutyRingTest {

  private static final int SIZE = 4;
  private static final int RESTARTS = 300;

  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final DutyRing<String> ring = new DutyRing<>("test", SIZE, Duration.ofMillis(50), meters);

  @Test
  void recordsTheWaitOfEachItem() throws InterruptedException {
    CountDownLatch taken = new CountDownLatch(2);
    ring.start(new CountingHandler(taken));
    ring.offer("first");
    ring.offer("second");
    taken.await();
    ring.stop(Duration.ofSeconds(1));
    assertEquals(2, meters.get("fescuehook.ring.waited").tag("ring", "test").timer().count());
  }

  @Test
  void aFullRingRefusesAndCountsOffers() {
    CountDownLatch released = new CountDownLatch(1);
    ring.start(new BlockingHandler(released));
    for (int i = 0; i < SIZE; i++) {
      assertTrue(ring.offer("item"));
    }
    assertFalse(ring.offer("one too many"));
    assertEquals(1, meters.get("fescuehook.ring.refused").tag("ring", "test").counter().count());
    released.countDown();
    ring.stop(Duration.ofSeconds(1));
  }

  /** Guards against a duty with a long idle time that doesn't wake when an item arrives. */
  @Test
  void anItemWakesADutyWithALongIdleTime() throws InterruptedException {
    CountDownLatch taken = new CountDownLatch(1);
    LongIdleHandler handler = new LongIdleHandler(taken, new CountDownLatch(1));
    ring.start(handler);
    handler.asked().await();
    assertTrue(ring.offer("item"));
    taken.await();
    ring.stop(Duration.ofSeconds(1));
  }

  /**
   * Guards against the loss of items when a ring is stopped right after its start, before its
   * thread runs.
   */
  @Test
  void handlesAllItemsEvenIfStoppedBeforeItsThreadRuns() {
    for (int i = 0; i < RESTARTS; i++) {
      CountDownLatch taken = new CountDownLatch(1);
      DutyRing<String> newRing =
          new DutyRing<>("young", SIZE, Duration.ofMillis(50), new SimpleMeterRegistry());
      newRing.start(new CountingHandler(taken));
      newRing.offer("item");
      newRing.stop(Duration.ofSeconds(20));
      assertEquals(0, taken.getCount(), "not taken by ring " + i);
    }
  }

  /**
   * Requests an idle time of one day. If it is called as idle, it throws, and the test then gets no
   * item.
   */
  private record LongIdleHandler(CountDownLatch taken, CountDownLatch asked)
      implements DutyRing.Handler<String> {
    @Override
    public void accept(String item) {
      taken.countDown();
    }

    @Override
    public void idle() {
      throw new IllegalStateException("woken without an item");
    }

    @Override
    public Duration longestIdle(Duration usual) {
      asked.countDown();
      return Duration.ofDays(1);
    }
  }

  private record CountingHandler(CountDownLatch taken) implements DutyRing.Handler<String> {
    @Override
    public void accept(String item) {
      taken.countDown();
    }

    @Override
    public void idle() {}
  }

  /** Blocks in the first item until it is released. */
  private record BlockingHandler(CountDownLatch released) implements DutyRing.Handler<String> {
    @Override
    public void accept(String item) {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void idle() {}
  }
}
