package org.fescuehook.net.duty;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Bounded ring buffer that hands items over to one duty thread. If the ring is full, an offer is
 * refused and counted, and never blocks.
 *
 * @param <T> type of the items
 */
public final class DutyRing<T> {

  private static final Logger LOGGER = LoggerFactory.getLogger(DutyRing.class);

  private final String name;
  private final Duration idle;
  private final Disruptor<Slot<T>> disruptor;
  private final RingBuffer<Slot<T>> ring;
  private final Counter refused;
  private final Timer waited;
  private final CountDownLatch running = new CountDownLatch(1);
  private volatile Optional<Handler<T>> activeHandler = Optional.empty();

  /**
   * Creates a ring whose thread has not started.
   *
   * @param size number of slots, a power of two
   * @param idle time without an item after which {@link Handler#idle()} is called, unless {@link
   *     Handler#longestIdle} returns another time
   */
  public DutyRing(String name, int size, Duration idle, MeterRegistry meters) {
    this.name = name;
    this.idle = idle;
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            size,
            task -> daemon(task, name),
            ProducerType.MULTI,
            new VariableTimeoutWaitStrategy(this::longestIdle));
    this.ring = disruptor.getRingBuffer();
    this.refused = meters.counter("fescuehook.ring.refused", "ring", name);
    this.waited = Timer.builder("fescuehook.ring.waited").tag("ring", name).register(meters);
    Gauge.builder("fescuehook.ring.used", ring, buffer -> size - buffer.remainingCapacity())
        .tag("ring", name)
        .register(meters);
  }

  /** Starts the thread. */
  public void start(Handler<T> handler) {
    activeHandler = Optional.of(handler);
    disruptor.setDefaultExceptionHandler(new FaultLogger<>(name));
    disruptor.handleEventsWith(new SlotHandler(handler));
    disruptor.start();
  }

  private Duration longestIdle() {
    return activeHandler.map(handler -> handler.longestIdle(idle)).orElse(idle);
  }

  /** Publishes an item; returns false if the ring is full. */
  public boolean offer(T item) {
    boolean accepted = ring.tryPublishEvent((slot, sequence, offered) -> slot.fill(offered), item);
    if (!accepted) {
      refused.increment();
    }
    return accepted;
  }

  /**
   * Publishes an item unless that leaves fewer slots free than are reserved for other items;
   * returns false if it does.
   *
   * @param reserved number of slots that must stay free
   */
  public boolean offer(T item, int reserved) {
    if (ring.remainingCapacity() <= reserved) {
      refused.increment();
      return false;
    }
    return offer(item);
  }

  /**
   * Waits up to a limit until the thread has handled all items in the ring, and ends the thread.
   */
  public void stop(Duration limit) {
    long deadline = System.nanoTime() + limit.toNanos();
    try {
      awaitThread(limit);
      disruptor.shutdown(Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
    } catch (TimeoutException e) {
      disruptor.halt();
    } catch (InterruptedException e) {
      disruptor.halt();
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits until the thread runs. The Disruptor library drops the items of a ring that is shut down
   * before its thread has started.
   */
  private void awaitThread(Duration limit) throws InterruptedException {
    if (activeHandler.isPresent() && !running.await(limit.toNanos(), TimeUnit.NANOSECONDS)) {
      EventLog.warn(LOGGER, DutyEvent.RING_NOT_RUNNING, name, limit.toMillis());
    }
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Handles the items of a ring, on its thread.
   *
   * @param <T> type of the items
   */
  public interface Handler<T> {

    /** Handles an item. */
    void accept(T item);

    /**
     * Handles an item.
     *
     * @param more whether further items are already in the ring
     */
    default void accept(T item, boolean more) {
      accept(item);
    }

    /** Called when no item has arrived for the time of {@link #longestIdle}. */
    void idle();

    /**
     * Returns the time without an item after which {@link #idle()} is called next. Called by the
     * duty's thread before each wait.
     *
     * @param usual the default of the ring
     */
    default Duration longestIdle(Duration usual) {
      return usual;
    }
  }

  private static final class Slot<T> {
    private Optional<T> item = Optional.empty();
    private long offeredAtNanos;

    void fill(T offered) {
      item = Optional.of(offered);
      offeredAtNanos = System.nanoTime();
    }

    long offeredAtNanos() {
      return offeredAtNanos;
    }

    Optional<T> take() {
      Optional<T> taken = item;
      item = Optional.empty();
      return taken;
    }
  }

  private final class SlotHandler implements EventHandler<Slot<T>> {
    private final Handler<T> handler;
    private final BacklogLogThrottle throttle = new BacklogLogThrottle();

    SlotHandler(Handler<T> handler) {
      this.handler = handler;
    }

    @Override
    public void onStart() {
      running.countDown();
    }

    @Override
    public void onEvent(Slot<T> slot, long sequence, boolean endOfBatch) {
      recordWait(slot.offeredAtNanos(), sequence);
      boolean more = ring.getCursor() > sequence;
      slot.take().ifPresent(item -> handler.accept(item, more));
    }

    private void recordWait(long offeredAtNanos, long sequence) {
      long now = System.nanoTime();
      long waitNanos = now - offeredAtNanos;
      waited.record(waitNanos, TimeUnit.NANOSECONDS);
      if (throttle.shouldLog(waitNanos, now)) {
        long millis = Duration.ofNanos(waitNanos).toMillis();
        EventLog.warn(LOGGER, DutyEvent.RING_BEHIND, name, millis, ring.getCursor() - sequence);
      }
    }

    @Override
    public void onTimeout(long sequence) {
      handler.idle();
    }
  }

  private record FaultLogger<T>(String name) implements ExceptionHandler<Slot<T>> {
    @Override
    public void handleEventException(Throwable fault, long sequence, Slot<T> slot) {
      EventLog.error(LOGGER, DutyEvent.RING_FAULT, name, fault);
    }

    @Override
    public void handleOnStartException(Throwable fault) {
      EventLog.error(LOGGER, DutyEvent.RING_FAULT, name, fault);
    }

    @Override
    public void handleOnShutdownException(Throwable fault) {
      EventLog.error(LOGGER, DutyEvent.RING_FAULT, name, fault);
    }
  }
}
