package org.fescuehook.entry;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.net.duty.DutyRing;

/** The queue of the decision thread. */
final class DecisionRing implements ControlPort {

  private static final String NAME = "decisions";
  private static final int CAPACITY = 1 << 14;

  private final DutyRing<Item> ring;
  private final AtomicLong tickets = new AtomicLong();

  /** Creates a queue whose thread is not started. */
  DecisionRing(Duration tick, MeterRegistry meters) {
    this.ring = new DutyRing<>(NAME, CAPACITY, tick, meters);
  }

  /** Starts the decision thread. */
  void start(DutyRing.Handler<Item> handler) {
    ring.start(handler);
  }

  /** Stops the decision thread. */
  void stop(Duration limit) {
    ring.stop(limit);
  }

  /** Queues an event; returns false if the queue is full. */
  boolean publish(ControlEvent event) {
    return ring.offer(new Item.EventItem(event));
  }

  @Override
  public boolean offer(Request request, Consumer<Answer> sink) {
    return ring.offer(new Item.RequestItem(tickets.incrementAndGet(), request, sink));
  }

  /** An element of the queue. */
  sealed interface Item {

    /** An event to apply. */
    record EventItem(ControlEvent event) implements Item {}

    /** A request to answer through the sink. */
    record RequestItem(long ticket, Request request, Consumer<Answer> sink) implements Item {}
  }
}
