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
 * A bounded ring in front of one duty thread. A full ring refuses and counts it; nobody waits.
 *
 * @param <T> what is handed over
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
  private volatile Optional<Handler<T>> started = Optional.empty();

  /**
   * Creates a ring whose thread has not started.
   *
   * @param size number of slots, a power of two
   * @param idle time without an item after which the handler is told, unless it wants more
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
            new VaryingTimeoutWait(this::longestIdle));
    this.ring = disruptor.getRingBuffer();
    this.refused = meters.counter("fescuehook.ring.refused", "ring", name);
    this.waited = Timer.builder("fescuehook.ring.waited").tag("ring", name).register(meters);
    Gauge.builder("fescuehook.ring.used", ring, buffer -> size - buffer.remainingCapacity())
        .tag("ring", name)
        .register(meters);
  }

  /** Starts the thread. */
  public void start(Handler<T> handler) {
    started = Optional.of(handler);
    disruptor.setDefaultExceptionHandler(new FaultLogger<>(name));
    disruptor.handleEventsWith(new SlotHandler(handler));
    disruptor.start();
  }

  private Duration longestIdle() {
    return started.map(handler -> handler.longestIdle(idle)).orElse(idle);
  }

  /** Hands an item over; false if the ring is full. */
  public boolean offer(T item) {
    boolean taken = ring.tryPublishEvent((slot, sequence, given) -> slot.fill(given), item);
    if (!taken) {
      refused.increment();
    }
    return taken;
  }

  /**
   * Hands an item over that leaves some places free for others; false if it would not.
   *
   * @param kept places that have to stay free
   */
  public boolean offer(T item, int kept) {
    if (ring.remainingCapacity() <= kept) {
      refused.increment();
      return false;
    }
    return offer(item);
  }

  /** Lets the thread finish what the ring holds, up to a limit, and ends it. */
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

  /** The library ends a ring whose thread does not run yet without working off what it holds. */
  private void awaitThread(Duration limit) throws InterruptedException {
    if (started.isPresent() && !running.await(limit.toNanos(), TimeUnit.NANOSECONDS)) {
      EventLog.warn(LOGGER, DutyEvent.RING_NOT_RUNNING, name, limit.toMillis());
    }
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Works on the items.
   *
   * @param <T> what is handed over
   */
  public interface Handler<T> {

    /** Takes an item. */
    void accept(T item);

    /**
     * Takes an item.
     *
     * @param more whether further items wait already
     */
    default void accept(T item, boolean more) {
      accept(item);
    }

    /** Tells that nothing came for a while. */
    void idle();

    /**
     * Returns after which time without an item to call {@link #idle()} next; asked by the duty's
     * thread.
     *
     * @param usual the ring's own time
     */
    default Duration longestIdle(Duration usual) {
      return usual;
    }
  }

  private static final class Slot<T> {
    private Optional<T> item = Optional.empty();
    private long offeredAt;

    void fill(T given) {
      item = Optional.of(given);
      offeredAt = System.nanoTime();
    }

    long offeredAt() {
      return offeredAt;
    }

    Optional<T> take() {
      Optional<T> taken = item;
      item = Optional.empty();
      return taken;
    }
  }

  private final class SlotHandler implements EventHandler<Slot<T>> {
    private final Handler<T> handler;
    private final WaitWatch watch = new WaitWatch();

    SlotHandler(Handler<T> handler) {
      this.handler = handler;
    }

    @Override
    public void onStart() {
      running.countDown();
    }

    @Override
    public void onEvent(Slot<T> slot, long sequence, boolean endOfBatch) {
      noteWait(slot.offeredAt(), sequence);
      boolean more = ring.getCursor() > sequence;
      slot.take().ifPresent(item -> handler.accept(item, more));
    }

    private void noteWait(long offeredAt, long sequence) {
      long now = System.nanoTime();
      long wait = now - offeredAt;
      waited.record(wait, TimeUnit.NANOSECONDS);
      if (watch.tells(wait, now)) {
        long millis = Duration.ofNanos(wait).toMillis();
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
