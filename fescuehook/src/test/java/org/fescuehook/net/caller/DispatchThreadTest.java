package org.fescuehook.net.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescuehook.logic.dispatch.DispatchEvent;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

class DispatchThreadTest {
  private static final int RING = 8;
  private static final int ENDS = 3 * RING;
  private static final Set<Thread.State> WAITING_OR_ENDED =
      EnumSet.of(Thread.State.WAITING, Thread.State.TIMED_WAITING, Thread.State.TERMINATED);

  @Test
  void refusesNewRequestsWhenHalfFullAndLosesNoEndOfARequest() throws Exception {
    CountDownLatch free = new CountDownLatch(1);
    AtomicInteger cancelled = new AtomicInteger();
    SimpleMeterRegistry metrics = new SimpleMeterRegistry();
    EventLoop loop = new DefaultEventLoop();
    DispatchThread thread =
        new DispatchThread(
            "dispatch-test",
            RING,
            event -> {
              await(free);
              if (event instanceof DispatchEvent.Cancelled) {
                cancelled.incrementAndGet();
              }
            },
            new RequestMetrics(metrics));
    thread.start();
    int taken = 0;
    while (taken < RING && thread.offer(new DispatchEvent.PathSuspected(executor()))) {
      taken++;
    }
    assertTrue(taken <= RING / 2 + 1, "taken " + taken);
    for (int i = 0; i < ENDS; i++) {
      thread.deliver(new DispatchEvent.Cancelled(i), loop);
    }
    assertFalse(thread.offer(new DispatchEvent.PathSuspected(executor())));
    assertTrue(metrics.counter("fescuehook.requests.ring.full").count() > 0);

    free.countDown();
    Await.until(() -> cancelled.get() == ENDS);
    assertEquals(ENDS, cancelled.get());
    thread.halt();
    loop.shutdownGracefully();
  }

  // Guards against closing what the thread uses, such as the pools of connections, beside an event.
  @Test
  void haltWaitsForTheEventThatIsBeingHandled() throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    CountDownLatch free = new CountDownLatch(1);
    AtomicBoolean handled = new AtomicBoolean();
    DispatchThread thread =
        new DispatchThread(
            "dispatch-test",
            RING,
            event -> {
              begun.countDown();
              await(free);
              handled.set(true);
            },
            new RequestMetrics(new SimpleMeterRegistry()));
    thread.start();
    thread.put(new DispatchEvent.PathSuspected(executor()));
    begun.await();

    AtomicBoolean ended = new AtomicBoolean();
    AtomicBoolean handledBefore = new AtomicBoolean();
    Thread stop =
        new Thread(
            () -> {
              ended.set(thread.halt());
              handledBefore.set(handled.get());
            });
    stop.start();
    Await.until(() -> WAITING_OR_ENDED.contains(stop.getState()));
    free.countDown();
    stop.join();
    assertTrue(ended.get() && handledBefore.get());
  }

  private static ExecutorId executor() {
    return new ExecutorId("e");
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
