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

/**
 * A caller's call until it is answered. The first answer is recorded and sent; later ones are
 * ignored. Thread-safe.
 */
final class OpenCall {

  private static final Logger LOGGER = LoggerFactory.getLogger(OpenCall.class);

  private final BatchCall call;
  private final Ticker ticker;
  private final long startNanos;
  private final long deadlineNanos;
  private final Consumer<OpenCall> onAnswered;
  private final Consumer<CallAnswer> sink;
  private final MeterRegistry meters;
  private final AtomicBoolean answered = new AtomicBoolean();
  private volatile Optional<Future<?>> deadlineTimer = Optional.empty();
  private volatile boolean mayHaveRun;

  /**
   * Opens a call.
   *
   * @param patience how long the caller waits from now
   * @param atEnd called with this call once it is answered
   */
  OpenCall(
      BatchCall call,
      Ticker ticker,
      Duration patience,
      Consumer<OpenCall> onAnswered,
      Consumer<CallAnswer> sink,
      MeterRegistry meters) {
    this.call = call;
    this.ticker = ticker;
    this.startNanos = ticker.nanoTime();
    this.deadlineNanos = startNanos + patience.toNanos();
    this.onAnswered = onAnswered;
    this.sink = sink;
    this.meters = meters;
  }

  /** Sets the timer that ends the call at its deadline; an earlier answer cancels it. */
  void setDeadlineTimer(Future<?> timer) {
    deadlineTimer = Optional.of(timer);
  }

  BatchCall call() {
    return call;
  }

  /** Records that the call is handed to an owner, which may carry it out from now on. */
  void sent() {
    mayHaveRun = true;
  }

  /** Records that no owner has carried out the call, nor will. */
  void refused() {
    mayHaveRun = false;
  }

  /** Returns whether an owner may have carried out the call. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  boolean answered() {
    return answered.get();
  }

  /** Returns the time until the caller's deadline. */
  Duration remaining() {
    return Duration.ofNanos(Math.max(0, deadlineNanos - ticker.nanoTime()));
  }

  /** Answers the caller, unless the call has been answered already. */
  void answer(CallAnswer answer) {
    if (!answered.compareAndSet(false, true)) {
      return;
    }
    deadlineTimer.ifPresent(timer -> timer.cancel(false));
    onAnswered.accept(this);
    recordAnswer(answer, ticker.nanoTime() - startNanos);
    sink.accept(answer);
  }

  private void recordAnswer(CallAnswer answer, long nanos) {
    Timer.builder("fescuehook.batch.calls")
        .tag("call", call.getClass().getSimpleName())
        .tag("outcome", answer.getClass().getSimpleName())
        .register(meters)
        .record(nanos, TimeUnit.NANOSECONDS);
    boolean unusual =
        answer instanceof CallAnswer.Refused || answer instanceof CallAnswer.Undecided;
    // The answer to a cancel is always logged, as it determines which tasks may still run.
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
