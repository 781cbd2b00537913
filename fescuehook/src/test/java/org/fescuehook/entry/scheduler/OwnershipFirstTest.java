package org.fescuehook.entry.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.net.duty.DutyRing;
import org.junit.jupiter.api.Test;

/**
 * Guards against replacing an owner that is only overloaded. Its heartbeat was stored at once, but
 * the outcome waited in the queue behind hundreds of executors' answers, and the next heartbeat is
 * sent only after that outcome. The owner was replaced, and so was the next one, for the same
 * reason.
 */
class OwnershipFirstTest {

  private static final int QUEUED_EVENTS = 500;
  private static final BatchEvent OWNERSHIP_EVENT =
      new BatchEvent.OwnershipRead(Optional.empty(), 7);

  private final BatchRing ring =
      new BatchRing(Duration.ofSeconds(60), new RetryDelays(false), new SimpleMeterRegistry());
  private final BlockingRecorder recorder = new BlockingRecorder();

  /** Blocks at the first item until released, and records all events in order. */
  private static final class BlockingRecorder implements DutyRing.Handler<BatchRing.Item> {
    private final CountDownLatch entered = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final List<BatchEvent> received = new ArrayList<>();

    @Override
    public void accept(BatchRing.Item item) {
      entered.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      if (item instanceof BatchRing.Item.EventItem(BatchEvent event)) {
        received.add(event);
      }
    }

    @Override
    public void idle() {
      // This test checks the items only.
    }
  }

  @Test
  void ownershipEventsAreProcessedBeforeQueuedEvents() throws InterruptedException {
    ring.start(recorder);
    ring.publish(new BatchEvent.Tick());
    recorder.entered.await();
    for (int i = 0; i < QUEUED_EVENTS; i++) {
      ring.publish(new BatchEvent.StateUnreadable(1));
    }
    ring.publish(OWNERSHIP_EVENT);
    recorder.released.countDown();
    ring.stop(Duration.ofSeconds(20));
    assertEquals(QUEUED_EVENTS + 2, recorder.received.size());
    assertEquals(1, recorder.received.indexOf(OWNERSHIP_EVENT));
  }
}
