package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;

/** Settles whether a run that was ordered to start runs, will be tried again, or is given up. */
final class StartOutcomeHandler {

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
  private final Throttler pacer;
  private final RunListener listener;

  /** Creates a settler that repeats starts by a sender. */
  StartOutcomeHandler(OrderSender orders, Throttler pacer, RunListener listener) {
    this.orders = orders;
    this.pacer = pacer;
    this.listener = listener;
  }

  /** Takes in what became of the order to start a run. */
  void ended(ExecutorState executor, LiveRun run, OrderOutcome outcome, BatchTurn turn) {
    switch (outcome) {
      case OrderOutcome.Done done -> {
        long nanos = turn.nowNanos() - run.placedAt();
        turn.stage("started", nanos);
        long millis = Duration.ofNanos(nanos).toMillis();
        turn.note(BatchLogEvent.RUN_STARTED, run.run(), run.incarnation(), millis);
        run.enter(Stage.RUNNING, turn.nowNanos());
        pacer.started(executor, run, turn);
      }
      case OrderOutcome.Rejected(Rejection rejection) -> rejected(executor, run, rejection, turn);
      case OrderOutcome.Unanswered unanswered -> {
        turn.count("fescuehook.batch.starts.unanswered", "sent", "maybe");
        run.startBecameUncertain();
        repeatOrGiveUp(executor, run, unanswered.reason(), turn);
      }
      case OrderOutcome.NotSent notSent -> {
        turn.count("fescuehook.batch.starts.unanswered", "sent", "no");
        repeatOrGiveUp(executor, run, notSent.reason(), turn);
      }
      case OrderOutcome.Polled polled -> {}
      case OrderOutcome.OtherIncarnation other -> {}
    }
  }

  private void repeatOrGiveUp(ExecutorState executor, LiveRun run, String reason, BatchTurn turn) {
    if (run.orders() < MAX_STARTS && !executor.overbooked()) {
      orders.start(executor, run, turn);
      return;
    }
    if (run.startUncertain()) {
      listener.startGivenUp(run, turn);
      return;
    }
    // None of its orders was sent, so the task may start elsewhere before the lease has expired.
    executor.rest(UNREACHED_REST, "no connection to it can be made", turn);
    executor.remove(run);
    turn.note(
        BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), "its start was not sent: " + reason);
    listener.unsent(run, turn);
  }

  private void rejected(ExecutorState executor, LiveRun run, Rejection rejection, BatchTurn turn) {
    turn.count("fescuehook.batch.starts.rejected", "reason", tag(rejection));
    switch (rejection) {
      case UNHEALTHY -> executor.rest(UNHEALTHY_REST, "it calls itself unhealthy", turn);
      case NO_ROOM -> executor.rest(NO_ROOM_REST, "it has less room than thought", turn);
      // Its clock is not the one that was read.
      case EXPIRED -> executor.doubt();
      case FENCED, SUPERSEDED, NO_TICKET, OTHER -> {}
    }
    if (run.startUncertain()) {
      listener.startGivenUp(run, turn);
      return;
    }
    executor.remove(run);
    listener.rejected(run, rejection, turn);
  }

  private static String tag(Rejection rejection) {
    return rejection.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
