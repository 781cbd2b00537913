package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;

/** Settles whether a run that was ordered to start runs, will be tried again, or is given up. */
final class StartSettler {

  /** Rest of an executor that has less room than the owner thinks, until a poll tells why. */
  private static final Duration NO_ROOM_REST = Duration.ofMillis(300);

  /** Rest of an executor that calls itself unhealthy. */
  private static final Duration UNHEALTHY_REST = Duration.ofSeconds(2);

  /**
   * Rest of an executor to which no connection can be made; one that crashed is back in seconds.
   */
  private static final Duration UNREACHED_REST = Duration.ofSeconds(2);

  /** Starts of one run before it is given up; with their timeouts half of a gang's patience. */
  private static final int MAX_STARTS = 3;

  private final OrderSender orders;
  private final Pacer pacer;
  private final RunListener listener;

  /** Creates a settler that repeats starts by a sender. */
  StartSettler(OrderSender orders, Pacer pacer, RunListener listener) {
    this.orders = orders;
    this.pacer = pacer;
    this.listener = listener;
  }

  /** Takes in what became of the order to start a run. */
  void ended(ExecutorState executor, LiveRun run, OrderOutcome outcome, BatchContext context) {
    switch (outcome) {
      case OrderOutcome.Done done -> {
        long nanos = context.nowNanos() - run.placedAt();
        context.stage("started", nanos);
        long millis = Duration.ofNanos(nanos).toMillis();
        context.note(BatchLogEvent.RUN_STARTED, run.run(), run.incarnation(), millis);
        run.enter(Stage.RUNNING, context.nowNanos());
        pacer.started(executor, run, context);
      }
      case OrderOutcome.Rejected(Rejection rejection) ->
          rejected(executor, run, rejection, context);
      case OrderOutcome.Unanswered unanswered -> {
        context.count("fescuehook.batch.starts.unanswered", "sent", "maybe");
        run.startBecameUncertain();
        repeatOrGiveUp(executor, run, unanswered.reason(), context);
      }
      case OrderOutcome.NotSent notSent -> {
        context.count("fescuehook.batch.starts.unanswered", "sent", "no");
        repeatOrGiveUp(executor, run, notSent.reason(), context);
      }
      case OrderOutcome.Polled polled -> {}
      case OrderOutcome.OtherIncarnation other -> {}
    }
  }

  private void repeatOrGiveUp(
      ExecutorState executor, LiveRun run, String reason, BatchContext context) {
    if (run.orders() < MAX_STARTS && !executor.overbooked()) {
      orders.start(executor, run, context);
      return;
    }
    if (run.startUncertain()) {
      listener.startGivenUp(run, context);
      return;
    }
    // None of its orders was sent, so the task may start elsewhere before the lease has expired.
    executor.rest(UNREACHED_REST, "no connection to it can be made", context);
    executor.remove(run);
    context.note(
        BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), "its start was not sent: " + reason);
    listener.unsent(run, context);
  }

  private void rejected(
      ExecutorState executor, LiveRun run, Rejection rejection, BatchContext context) {
    context.count("fescuehook.batch.starts.rejected", "reason", tag(rejection));
    switch (rejection) {
      case UNHEALTHY -> executor.rest(UNHEALTHY_REST, "it calls itself unhealthy", context);
      case NO_ROOM -> executor.rest(NO_ROOM_REST, "it has less room than thought", context);
      // Its clock is not the one that was read.
      case EXPIRED -> executor.doubt();
      case FENCED, SUPERSEDED, NO_TICKET, OTHER -> {}
    }
    if (run.startUncertain()) {
      listener.startGivenUp(run, context);
      return;
    }
    executor.remove(run);
    listener.rejected(run, rejection, context);
  }

  private static String tag(Rejection rejection) {
    return rejection.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
