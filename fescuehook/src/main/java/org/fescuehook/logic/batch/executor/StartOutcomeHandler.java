package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.logic.batch.statistics.StartEvidence;

/**
 * Handles the outcomes of start orders: decides whether the run is running, is ordered to start
 * again, or is given up.
 */
final class StartOutcomeHandler {

  /**
   * Backoff from an executor that has less free capacity than the owner assumed. It bridges the
   * time until the next poll shows the cause, such as a run unknown to the owner.
   */
  private static final Duration NO_CAPACITY_BACKOFF = Duration.ofMillis(300);

  /** Backoff from an executor that reports itself unhealthy. */
  private static final Duration UNHEALTHY_BACKOFF = Duration.ofSeconds(2);

  /**
   * Backoff from an executor to which no connection can be opened; one that crashed restarts within
   * seconds.
   */
  private static final Duration UNREACHABLE_BACKOFF = Duration.ofSeconds(2);

  private final ExecutorRegistry registry;
  private final OrderSender orders;
  private final Throttler throttler;
  private final RunListener listener;
  private final SchedulingStatistics statistics;
  private final AnswerStatistics answers;

  /** Creates a handler that retries starts through a sender. */
  StartOutcomeHandler(
      ExecutorRegistry registry,
      OrderSender orders,
      Throttler throttler,
      RunListener listener,
      SchedulingStatistics statistics,
      AnswerStatistics answers) {
    this.registry = registry;
    this.orders = orders;
    this.throttler = throttler;
    this.listener = listener;
    this.statistics = statistics;
    this.answers = answers;
  }

  /** Handles the outcome of the order to start a run. */
  void handle(ExecutorState executor, LiveRun run, OrderOutcome outcome, BatchContext context) {
    switch (outcome) {
      case OrderOutcome.Done done -> {
        long nanos = context.nowNanos() - run.placedAt();
        context.stage("started", nanos);
        long millis = Duration.ofNanos(nanos).toMillis();
        context.note(BatchLogEvent.RUN_STARTED, run.run(), run.incarnation(), millis);
        run.enter(Stage.RUNNING, context.nowNanos());
        PlacementRuleCheck.check(executor, run, context);
        throttler.runStarted(executor, run, context);
      }
      case OrderOutcome.Rejected(Rejection rejection) ->
          rejected(executor, run, rejection, context);
      case OrderOutcome.Unanswered unanswered -> {
        context.count("fescuehook.batch.starts.unanswered", "sent", "maybe");
        run.startBecameUncertain();
        retryOrGiveUp(executor, run, unanswered.reason(), context);
      }
      case OrderOutcome.NotSent notSent -> {
        context.count("fescuehook.batch.starts.unanswered", "sent", "no");
        retryOrGiveUp(executor, run, notSent.reason(), context);
      }
      case OrderOutcome.Polled polled -> {}
      case OrderOutcome.OtherIncarnation other -> {}
    }
  }

  private void retryOrGiveUp(
      ExecutorState executor, LiveRun run, String reason, BatchContext context) {
    boolean mayStart = !executor.overbooked() && !executor.closedToStarts();
    long nanos = context.nowNanos() - run.stageSince();
    if (mayStart && !answers.givesUpStart(run.orders(), nanos)) {
      orders.start(executor, run, context);
      return;
    }
    if (mayStart && !registry.mostAreSilent()) {
      observed(executor, StartEvidence.UNANSWERED, context);
    }
    if (run.startUncertain()) {
      listener.startGivenUp(run, context);
      return;
    }
    neverSent(executor, run, reason, context);
  }

  private void neverSent(ExecutorState executor, LiveRun run, String reason, BatchContext context) {
    // None of its start orders was sent, so the task may start elsewhere before the lease has
    // expired.
    executor.backOff(UNREACHABLE_BACKOFF, "no connection to it can be opened", context);
    executor.remove(run);
    context.note(
        BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), "its start was not sent: " + reason);
    listener.startNotSent(run, context);
  }

  /**
   * Handles a run that was stopped while its start was in flight, and has never begun. No stop of
   * it needs to be confirmed.
   */
  void stoppedUnbegun(LiveRun run, OrderOutcome outcome, BatchContext context) {
    Optional<ExecutorState> executor =
        registry.find(run.executor()).filter(state -> state.run(run.run()).isPresent());
    if (executor.isEmpty()) {
      return;
    }
    switch (outcome) {
      case OrderOutcome.NotSent(String reason, boolean _) ->
          neverSent(executor.get(), run, reason, context);
      case OrderOutcome.Rejected(Rejection rejection) ->
          rejected(executor.get(), run, rejection, context);
      case OrderOutcome.Done _,
          OrderOutcome.Polled _,
          OrderOutcome.OtherIncarnation _,
          OrderOutcome.Unanswered _ -> {}
    }
  }

  private void rejected(
      ExecutorState executor, LiveRun run, Rejection rejection, BatchContext context) {
    context.count("fescuehook.batch.starts.rejected", "reason", tag(rejection));
    switch (rejection) {
      case UNHEALTHY -> {
        observed(executor, StartEvidence.REFUSED, context);
        executor.backOff(UNHEALTHY_BACKOFF, "it reports itself unhealthy", context);
      }
      case NO_ROOM -> {
        observed(executor, StartEvidence.NO_CAPACITY, context);
        executor.backOff(NO_CAPACITY_BACKOFF, "it has less free capacity than expected", context);
      }
      // The lease was computed from a wrong reading of the executor's clock.
      case EXPIRED -> executor.markUnconfirmed();
      case FENCED, SUPERSEDED, NO_TICKET, OTHER -> {}
    }
    if (run.startUncertain()) {
      listener.startGivenUp(run, context);
      return;
    }
    executor.remove(run);
    listener.startRejected(run, rejection, context);
  }

  private void observed(ExecutorState executor, StartEvidence evidence, BatchContext context) {
    statistics.reliability().observed(executor.incarnation(), evidence, context);
  }

  private static String tag(Rejection rejection) {
    return rejection.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
