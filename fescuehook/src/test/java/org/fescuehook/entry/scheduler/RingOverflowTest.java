package org.fescuehook.entry.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.net.duty.DutyRing;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Seen: an owner whose decisions were behind for some seconds stores nothing more, polls some
 * executors no more, or never ends its take-over, long after it has caught up. Outcomes that came
 * while the ring was full were dropped, and each of them is told only once. Cause: the ring treats
 * what the decisions have asked for like calls, which can be refused.
 */
class RingOverflowTest {

  private static final int OUTCOMES = 4200;
  private static final long TIMEOUT_SECONDS = 20;

  private final BatchRing ring = new BatchRing(Duration.ofSeconds(60), new SimpleMeterRegistry());

  /** Waits at the first item, and counts all. */
  private static final class BlockingHandler implements DutyRing.Handler<BatchRing.Item> {
    private final CountDownLatch released = new CountDownLatch(1);
    private final AtomicInteger count = new AtomicInteger();

    @Override
    public void accept(BatchRing.Item item) {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      count.incrementAndGet();
    }

    @Override
    public void idle() {
      // Only items count.
    }
  }

  @AfterEach
  void stop() {
    ring.stop(Duration.ofSeconds(1));
  }

  @Test
  void noOutcomeIsDroppedWhileDecisionsAreBehind() {
    BlockingHandler handler = new BlockingHandler();
    ring.start(handler);
    for (int i = 0; i < OUTCOMES; i++) {
      ring.publish(new BatchEvent.StateUnreadable(1));
    }
    handler.released.countDown();
    ring.stop(Duration.ofSeconds(TIMEOUT_SECONDS));
    assertEquals(OUTCOMES, handler.count.get());
  }
}
