package org.fescuehook.entry.scheduler;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A caller's call until its first answer, which is recorded; others are dropped. Any thread. */
final class OpenCall {

  private static final Logger LOGGER = LoggerFactory.getLogger(OpenCall.class);

  private final BatchCall call;
  private final Ticker ticker;
  private final long since;
  private final long deadline;
  private final Consumer<OpenCall> atEnd;
  private final Consumer<CallAnswer> sink;
  private final MeterRegistry meters;
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile Optional<Future<?>> limit = Optional.empty();

  /**
   * Opens a call.
   *
   * @param patience how long the caller waits from now on
   * @param atEnd is told of this call once it is answered
   */
  OpenCall(
      BatchCall call,
      Ticker ticker,
      Duration patience,
      Consumer<OpenCall> atEnd,
      Consumer<CallAnswer> sink,
      MeterRegistry meters) {
    this.call = call;
    this.ticker = ticker;
    this.since = ticker.nanoTime();
    this.deadline = since + patience.toNanos();
    this.atEnd = atEnd;
    this.sink = sink;
    this.meters = meters;
  }

  /** Has the answer cancel what would end the call at its deadline. */
  void endBy(Future<?> timer) {
    limit = Optional.of(timer);
  }

  BatchCall call() {
    return call;
  }

  boolean ended() {
    return ended.get();
  }

  /** Returns how long the caller still waits. */
  Duration left() {
    return Duration.ofNanos(Math.max(0, deadline - ticker.nanoTime()));
  }

  /** Answers the caller unless it has been answered. */
  void answer(CallAnswer answer) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    limit.ifPresent(timer -> timer.cancel(false));
    atEnd.accept(this);
    note(answer, ticker.nanoTime() - since);
    sink.accept(answer);
  }

  private void note(CallAnswer answer, long nanos) {
    Timer.builder("fescuehook.batch.calls")
        .tag("call", call.getClass().getSimpleName())
        .tag("outcome", answer.getClass().getSimpleName())
        .register(meters)
        .record(nanos, TimeUnit.NANOSECONDS);
    boolean unusual =
        answer instanceof CallAnswer.Refused || answer instanceof CallAnswer.Undecided;
    // What callers were told of a cancel decides what may run afterwards.
    if (unusual || call instanceof BatchCall.Cancel) {
      EventLog.info(
          LOGGER,
          SchedulerEvent.CALL_ANSWERED,
          call.getClass().getSimpleName(),
          call.subject().isEmpty() ? call.queue() : call.subject(),
          answer,
          TimeUnit.NANOSECONDS.toMillis(nanos));
    }
  }
}
