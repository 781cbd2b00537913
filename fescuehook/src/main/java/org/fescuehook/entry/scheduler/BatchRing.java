package org.fescuehook.entry.scheduler;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.BatchEvent;
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
 * The ring in front of the decision thread. What concerns ownership overtakes the rest: heartbeats
 * are due each 0.5 s and missed after 1 s, and work has waited for 1.3 s on a VM with a third of a
 * core. An owner that is late would be replaced by one that is late as well.
 */
final class BatchRing implements CallPort {

  private static final Logger LOGGER = LoggerFactory.getLogger(BatchRing.class);

  /**
   * A power of two. Outcomes of what the decisions have asked for are told only once, so they are
   * to find room: an executor has four orders under way at a time, which are 3,240 with 810
   * executors, and streams and clients some tens. {@link SchedulerEvent#RING_FULL} tells if more
   * come while the decisions stand still.
   */
  private static final int CAPACITY = 1 << 13;

  /** Places that calls leave to outcomes; calls can be refused. */
  private static final int RESERVED_FOR_OUTCOMES = CAPACITY - (1 << 11);

  /** When callers come back after the ring was full. */
  private static final long RETRY_AFTER_MILLIS = 1000;

  /** Outcomes and reads of the stream of ownership come some times a second, one at a time each. */
  private static final int OWNERSHIP_CAPACITY = 64;

  private final Queue<BatchEvent> ownershipEvents = new ArrayBlockingQueue<>(OWNERSHIP_CAPACITY);
  private final DutyRing<Item> ring;
  private final AtomicLong tickets = new AtomicLong();

  BatchRing(Duration tick, MeterRegistry meters) {
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
      // Wakes the thread; if the ring is full it does not sleep.
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
      sink.accept(new CallAnswer.Refused(RefusalCause.OVERLOADED, RETRY_AFTER_MILLIS));
    }
  }

  /** Hands over what concerns ownership before each other item. */
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

  /** What the ring holds. */
  sealed interface Item {

    /** Something happened. */
    record EventItem(BatchEvent event) implements Item {}

    /** Something concerning ownership has come; it has been handed over before. */
    record OwnershipPending() implements Item {}

    /** Somebody asks. */
    record CallItem(long ticket, BatchCall call, Duration patience, Consumer<CallAnswer> sink)
        implements Item {}
  }
}
