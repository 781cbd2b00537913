package org.fescuehook.entry.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.net.duty.DutyRing;
import org.junit.jupiter.api.Test;

/**
 * Seen: an owner whose decisions were a second behind was replaced, and so was the next one. Its
 * heartbeat had been stored at once, and the outcome waited behind some hundred answers of
 * executors; the next heartbeat goes out only after it. Cause: what keeps an owner an owner waits
 * in the same line as its work, so that load looks like death.
 */
class OwnershipFirstTest {

  private static final int ANSWERS = 500;
  private static final BatchEvent OWNERSHIP = new BatchEvent.OwnershipRead(Optional.empty(), 7);

  private final BatchRing ring = new BatchRing(Duration.ofSeconds(60), new SimpleMeterRegistry());
  private final Recorder recorder = new Recorder();

  /** Waits at the first item, and keeps all in order. */
  private static final class Recorder implements DutyRing.Handler<BatchRing.Item> {
    private final CountDownLatch entered = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final List<BatchEvent> taken = new ArrayList<>();

    @Override
    public void accept(BatchRing.Item item) {
      entered.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      if (item instanceof BatchRing.Item.Happened(BatchEvent event)) {
        taken.add(event);
      }
    }

    @Override
    public void idle() {
      // Only items count.
    }
  }

  @Test
  void whatKeepsOwnershipIsTakenBeforeTheWorkThatWaits() throws InterruptedException {
    ring.start(recorder);
    ring.publish(new BatchEvent.Tick());
    recorder.entered.await();
    for (int i = 0; i < ANSWERS; i++) {
      ring.publish(new BatchEvent.StateUnreadable(1));
    }
    ring.publish(OWNERSHIP);
    recorder.released.countDown();
    ring.stop(Duration.ofSeconds(20));
    assertEquals(ANSWERS + 2, recorder.taken.size());
    assertEquals(1, recorder.taken.indexOf(OWNERSHIP));
  }
}
