package org.fescuehook.entry.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.net.duty.DutyRing;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against dropping outcomes of commands while the queue is full. Calls can be refused, but
 * each outcome is reported only once: without it, an owner whose decisions had been late for some
 * seconds no longer appended, no longer polled some executors or never finished its take-over.
 */
class RingOverflowTest {

  private static final int OUTCOMES = 4200;
  private static final long TIMEOUT_SECONDS = 20;

  private final BatchRing ring =
      new BatchRing(Duration.ofSeconds(60), new RetryDelays(false), new SimpleMeterRegistry());

  /** Blocks at the first item until released, and counts all items. */
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
      // This test checks the items only.
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
