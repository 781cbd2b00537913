package org.fescuehook.entry.scheduler;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.net.batch.CallPort;
import org.fescuehook.net.duty.DutyRing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The ring in front of the decision thread. */
final class BatchRing implements CallPort {

  private static final Logger LOGGER = LoggerFactory.getLogger(BatchRing.class);

  /**
   * A power of two. Outcomes of what the decisions have asked for are told only once, so they
   * always find room: an executor has four orders under way at most, which are 3,240 with 810
   * executors, and streams and clients some tens.
   */
  private static final int SIZE = 1 << 13;

  /** Places that calls leave to outcomes; calls can be refused. */
  private static final int KEPT_FOR_OUTCOMES = SIZE - (1 << 11);

  /** When callers come back after the ring was full. */
  private static final long COME_BACK_MILLIS = 1000;

  private final DutyRing<Item> ring;
  private final AtomicLong tickets = new AtomicLong();

  BatchRing(Duration tick, MeterRegistry meters) {
    this.ring = new DutyRing<>("batch-decisions", SIZE, tick, meters);
  }

  void start(DutyRing.Handler<Item> handler) {
    ring.start(handler);
  }

  void stop(Duration limit) {
    ring.stop(limit);
  }

  void publish(BatchEvent event) {
    if (!ring.offer(new Item.Happened(event))) {
      EventLog.error(LOGGER, SchedulerEvent.RING_FULL, event.getClass().getSimpleName());
    }
  }

  @Override
  public void call(BatchCall call, Consumer<CallAnswer> sink) {
    if (!ring.offer(new Item.Asked(tickets.incrementAndGet(), call, sink), KEPT_FOR_OUTCOMES)) {
      sink.accept(new CallAnswer.Refused(RefusalCause.OVERLOADED, COME_BACK_MILLIS));
    }
  }

  /** What the ring holds. */
  sealed interface Item {

    /** Something happened. */
    record Happened(BatchEvent event) implements Item {}

    /** Somebody asks. */
    record Asked(long ticket, BatchCall call, Consumer<CallAnswer> sink) implements Item {}
  }
}
