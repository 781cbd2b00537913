package org.fescuehook.entry.scheduler;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
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

  /**
   * One variable for both facts, so that no call is answered as not run and sent to an owner
   * afterwards.
   */
  private final AtomicReference<State> state = new AtomicReference<>(State.NOT_RUN);

  private volatile Optional<Future<?>> deadlineTimer = Optional.empty();

  private enum State {
    NOT_RUN,
    MAY_HAVE_RUN,
    ANSWERED
  }

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

  /**
   * Records that the call is handed to an owner, which may carry it out from now on.
   *
   * @return false if the call has been answered and must not be sent
   */
  boolean beginSend() {
    return state.updateAndGet(now -> now == State.ANSWERED ? now : State.MAY_HAVE_RUN)
        == State.MAY_HAVE_RUN;
  }

  /** Records that no owner has carried out the call, nor will. */
  void refused() {
    state.compareAndSet(State.MAY_HAVE_RUN, State.NOT_RUN);
  }

  boolean answered() {
    return state.get() == State.ANSWERED;
  }

  /** Returns the time until the caller's deadline. */
  Duration remaining() {
    return Duration.ofNanos(Math.max(0, deadlineNanos - ticker.nanoTime()));
  }

  /** Answers the caller, unless the call has been answered already. */
  void answer(CallAnswer answer) {
    if (state.getAndSet(State.ANSWERED) != State.ANSWERED) {
      finish(answer);
    }
  }

  /**
   * Ends the call without an answer of an owner, unless it has been answered already.
   *
   * @param undecided the answer if an owner may have carried out the call
   * @param notRun the answer if none has, nor will
   */
  void giveUp(CallAnswer undecided, CallAnswer notRun) {
    switch (state.getAndSet(State.ANSWERED)) {
      case NOT_RUN -> finish(notRun);
      case MAY_HAVE_RUN -> finish(undecided);
      case ANSWERED -> {}
    }
  }

  private void finish(CallAnswer answer) {
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
        answer instanceof CallAnswer.Refused
            || answer instanceof CallAnswer.Undecided
            || answer instanceof CallAnswer.NoSuchJob;
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
