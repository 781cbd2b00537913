package org.fescuehook.entry.scheduler;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.net.batch.CallPort;
import org.fescuehook.net.duty.DutyRing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The queue of the decision thread. Events of ownership are processed before all others: heartbeats
 * are due every 0.5 s and count as missed after 1 s, while other events may wait for 1.3 s on a VM
 * with a third of a core. Otherwise an overloaded owner would be replaced by another overloaded
 * one.
 */
final class BatchRing implements CallPort {

  private static final Logger LOGGER = LoggerFactory.getLogger(BatchRing.class);

  /**
   * Capacity of the queue, a power of two. Outcomes of commands are reported only once and must not
   * be dropped. Each executor has up to four orders in flight, which makes 3,240 for 810 executors,
   * and the store and the advice service add some tens. {@link SchedulerEvent#RING_FULL} is logged
   * if more arrive while the decision thread is stalled.
   */
  private static final int CAPACITY = 1 << 13;

  /** Capacity reserved for outcomes. Calls may not use it, as they can be refused. */
  private static final int RESERVED_FOR_OUTCOMES = CAPACITY - (1 << 11);

  /** Capacity for events of ownership, of which a few arrive per second. */
  private static final int OWNERSHIP_CAPACITY = 64;

  private final Queue<BatchEvent> ownershipEvents = new ArrayBlockingQueue<>(OWNERSHIP_CAPACITY);
  private final DutyRing<Item> ring;
  private final RetryDelays retryDelays;
  private final AtomicLong tickets = new AtomicLong();

  BatchRing(Duration tick, RetryDelays retryDelays, MeterRegistry meters) {
    this.retryDelays = retryDelays;
    this.ring = new DutyRing<>("batch-decisions", CAPACITY, tick, meters);
  }

  void start(DutyRing.Handler<Item> handler) {
    ring.start(new OwnershipFirst(handler));
  }

  void stop(Duration limit) {
    ring.stop(limit);
  }

  void publish(BatchEvent event) {
    if (concernsOwnership(event) && ownershipEvents.offer(event)) {
      // Wakes the thread. If the ring is full the thread is awake already.
      ring.offer(new Item.OwnershipPending());
      return;
    }
    if (!ring.offer(new Item.EventItem(event))) {
      EventLog.error(LOGGER, SchedulerEvent.RING_FULL, event.getClass().getSimpleName());
    }
  }

  private static boolean concernsOwnership(BatchEvent event) {
    return switch (event) {
      case BatchEvent.OwnershipRead read -> true;
      case BatchEvent.OwnershipUnreadable unreadable -> true;
      case BatchEvent.Appended appended -> appended.stream() == StreamName.OWNERSHIP;
      default -> false;
    };
  }

  @Override
  public void call(BatchCall call, Duration patience, Consumer<CallAnswer> sink) {
    Item item = new Item.CallItem(tickets.incrementAndGet(), call, patience, sink);
    if (!ring.offer(item, RESERVED_FOR_OUTCOMES)) {
      sink.accept(retryDelays.refusal(RefusalCause.OVERLOADED, call));
    }
  }

  /** Passes on the pending events of ownership before each other item. */
  private final class OwnershipFirst implements DutyRing.Handler<Item> {
    private final DutyRing.Handler<Item> handler;

    OwnershipFirst(DutyRing.Handler<Item> handler) {
      this.handler = handler;
    }

    @Override
    public void accept(Item item) {
      accept(item, false);
    }

    @Override
    public void accept(Item item, boolean more) {
      drainOwnershipEvents(true);
      handler.accept(item, more);
    }

    @Override
    public void idle() {
      drainOwnershipEvents(false);
      handler.idle();
    }

    @Override
    public Duration longestIdle(Duration usual) {
      return handler.longestIdle(usual);
    }

    private void drainOwnershipEvents(boolean more) {
      for (BatchEvent next = ownershipEvents.poll(); next != null; next = ownershipEvents.poll()) {
        handler.accept(new Item.EventItem(next), more);
      }
    }
  }

  /** An element of the queue. */
  sealed interface Item {

    /** An event to apply. */
    record EventItem(BatchEvent event) implements Item {}

    /**
     * A marker that an event of ownership was published; the event itself has been passed on
     * before.
     */
    record OwnershipPending() implements Item {}

    /** A call to answer through the sink. */
    record CallItem(long ticket, BatchCall call, Duration patience, Consumer<CallAnswer> sink)
        implements Item {}
  }
}
