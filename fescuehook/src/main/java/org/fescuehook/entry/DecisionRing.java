package org.fescuehook.entry;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.net.duty.DutyRing;

/** The ring in front of the decision thread. */
final class DecisionRing implements ControlPort {

  private static final String NAME = "decisions";
  private static final int CAPACITY = 1 << 14;

  private final DutyRing<Item> ring;
  private final AtomicLong tickets = new AtomicLong();

  /** Creates a ring whose thread has not started. */
  DecisionRing(Duration tick, MeterRegistry meters) {
    this.ring = new DutyRing<>(NAME, CAPACITY, tick, meters);
  }

  /** Starts the decision thread. */
  void start(DutyRing.Handler<Item> handler) {
    ring.start(handler);
  }

  /** Ends the decision thread. */
  void stop(Duration limit) {
    ring.stop(limit);
  }

  /** Hands an event over; false if the ring is full. */
  boolean publish(ControlEvent event) {
    return ring.offer(new Item.EventItem(event));
  }

  @Override
  public boolean offer(Request request, Consumer<Answer> sink) {
    return ring.offer(new Item.RequestItem(tickets.incrementAndGet(), request, sink));
  }

  /** What the ring holds. */
  sealed interface Item {

    /** Something happened. */
    record EventItem(ControlEvent event) implements Item {}

    /** Somebody asks. */
    record RequestItem(long ticket, Request request, Consumer<Answer> sink) implements Item {}
  }
}
