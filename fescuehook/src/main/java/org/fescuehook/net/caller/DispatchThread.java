package org.fescuehook.net.caller;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.fescuehook.logic.dispatch.DispatchEvent;
import org.fescuehook.logic.dispatch.RequestEvent;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the thread that decides on requests; events reach it through a bounded ring buffer. */
final class DispatchThread {
  private static final Logger LOGGER = LoggerFactory.getLogger(DispatchThread.class);

  /**
   * Slots of the ring. New requests are accepted only while at least half of it is free, so that
   * the ends of requests in flight can still be delivered.
   */
  static final int RING_SIZE = 1 << 14;

  static final long TICK_MILLIS = 20;

  private static final long RETRY_DELAY_MILLIS = 1;
  private static final long PARK_NANOS = 100_000;

  /** Longest wait of {@link #halt()} for the event that is being handled. */
  private static final Duration HALT_TIMEOUT = Duration.ofSeconds(5);

  private static final class Slot {
    private Optional<DispatchEvent> event = Optional.empty();
  }

  private final Disruptor<Slot> disruptor;
  private final RingBuffer<Slot> ring;
  private final Consumer<DispatchEvent> handler;
  private final RequestMetrics metrics;
  private final int ringSize;
  private volatile Optional<Thread> thread = Optional.empty();
  private volatile boolean halted;

  /**
   * Creates the thread.
   *
   * @param handler handles each event, and a tick about every {@link #TICK_MILLIS} milliseconds
   */
  DispatchThread(
      String name, int ringSize, Consumer<DispatchEvent> handler, RequestMetrics metrics) {
    this.handler = handler;
    this.metrics = metrics;
    this.ringSize = ringSize;
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            ringSize,
            task -> newThread(task, name),
            ProducerType.MULTI,
            new TimeoutBlockingWaitStrategy(TICK_MILLIS, TimeUnit.MILLISECONDS));
    disruptor.handleEventsWith(new Handler());
    this.ring = disruptor.getRingBuffer();
  }

  private Thread newThread(Runnable task, String name) {
    Thread created = new Thread(task, name);
    thread = Optional.of(created);
    return created;
  }

  void start() {
    disruptor.start();
  }

  /**
   * Stops the thread and waits until it has ended. Events that it has not begun to handle are lost.
   *
   * @return whether the thread has ended, so that what it confined may be used by the caller
   */
  boolean halt() {
    halted = true;
    disruptor.halt();
    return thread.isEmpty() || hasEnded(thread.get());
  }

  private static boolean hasEnded(Thread thread) {
    try {
      return thread.join(HALT_TIMEOUT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return !thread.isAlive();
    }
  }

  /** Publishes a new request; returns false if the ring is more than half full. */
  boolean offer(DispatchEvent event) {
    return ring.hasAvailableCapacity(ringSize / 2) && publish(event);
  }

  private boolean publish(DispatchEvent event) {
    return ring.tryPublishEvent((slot, sequence) -> slot.event = Optional.of(event));
  }

  /** Publishes an event from an event loop; retries later on that loop if the ring is full. */
  void deliver(DispatchEvent event, EventLoop loop) {
    if (halted || publish(event)) {
      return;
    }
    metrics.count("fescuehook.requests.ring.full");
    loop.schedule(() -> deliver(event, loop), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Publishes an event, and blocks the calling thread while the ring is full. */
  void put(DispatchEvent event) {
    while (!halted && !publish(event)) {
      LockSupport.parkNanos(PARK_NANOS);
    }
  }

  private final class Handler implements EventHandler<Slot> {
    private long lastTickNanos = System.nanoTime();

    @Override
    public void onEvent(Slot slot, long sequence, boolean endOfBatch) {
      Optional<DispatchEvent> event = slot.event;
      slot.event = Optional.empty();
      event.ifPresent(this::handle);
      if (System.nanoTime() - lastTickNanos > TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS)) {
        tick();
      }
    }

    @Override
    public void onTimeout(long sequence) {
      tick();
    }

    private void tick() {
      lastTickNanos = System.nanoTime();
      handle(new DispatchEvent.Tick());
    }

    private void handle(DispatchEvent event) {
      try {
        handler.accept(event);
      } catch (RuntimeException e) {
        metrics.count("fescuehook.requests.unexpected");
        EventLog.error(LOGGER, RequestEvent.UNEXPECTED, event.getClass().getSimpleName(), e);
      }
    }
  }
}
