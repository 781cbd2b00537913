package org.fescuehook.logic.batch.executor;

import static java.util.Comparator.comparing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;

/** Decides when executors are polled, and counts the polls that are not answered. */
final class ExecutorPoller {

  private final ExecutorRegistry registry;
  private final OrderSender orders;
  private final AnswerStatistics answers;
  private final AdaptivePollLimit pollLimit = new AdaptivePollLimit();
  private Set<String> pools = Set.of();

  ExecutorPoller(ExecutorRegistry registry, OrderSender orders, AnswerStatistics answers) {
    this.registry = registry;
    this.orders = orders;
    this.answers = answers;
  }

  /**
   * Sets the pools that jobs may run in; their executors are polled even if no run is known there.
   */
  void setPools(Set<String> poolsOfJobs) {
    pools = Set.copyOf(poolsOfJobs);
  }

  /**
   * Polls unresponsive executors, as many as the limit allows. Executors with runs come first,
   * since their leases need renewal, and among them those whose polls have been due longest, so
   * that executors which stay silent do not displace the others each time.
   */
  void pollUnresponsive(BatchContext context) {
    List<ExecutorState> due = new ArrayList<>();
    for (ExecutorState executor : registry.all()) {
      if (!executor.responsive() && needsPoll(executor) && executor.pollDue(context.nowNanos())) {
        due.add(executor);
      }
    }
    due.sort(
        comparing((ExecutorState executor) -> executor.runs().isEmpty())
            .thenComparingLong(ExecutorState::nextPollAt));
    due.forEach(executor -> pollUnresponsive(executor, context));
  }

  /** Polls one unresponsive executor now, if the limit allows it. */
  void pollUnresponsive(ExecutorState executor, BatchContext context) {
    boolean retry = executor.missedPolls() > 0;
    if (pollLimit.allows(retry)) {
      pollLimit.sent(orders.poll(executor, context), retry, context.nowNanos());
    }
  }

  /** Polls a responsive executor, if a poll is due. */
  void poll(ExecutorState executor, BatchContext context) {
    if (executor.responsive() && needsPoll(executor) && executor.pollDue(context.nowNanos())) {
      orders.poll(executor, context);
    }
  }

  private boolean needsPoll(ExecutorState executor) {
    boolean unreached = !executor.reached() && pools.contains(executor.profile().pool());
    boolean mayHaveRuns = !executor.runs().isEmpty() || executor.hasUnknownRuns();
    // An executor that did not answer is not used, and only an answer shows that it can be used
    // again.
    boolean unsure = (executor.missedPolls() > 0 || executor.unconfirmed()) && executor.listed();
    return unreached || mayHaveRuns || unsure || executor.runEnds().needsAcknowledgement();
  }

  /** Records the outcome of an order, as far as it shows how fast executors answer. */
  void orderCompleted(long number, OrderOutcome outcome, BatchContext context) {
    if (outcome.answered()) {
      pollLimit.answered(number, context.nowNanos());
    } else {
      pollLimit.unanswered(number);
    }
  }

  /** Stops waiting for the poll of an executor that is forgotten. */
  void forget(ExecutorState executor) {
    executor.poll().ifPresent(poll -> pollLimit.unanswered(poll.number()));
  }

  /** Treats a poll as unanswered whose outcome has been missing for too long. */
  void timeOutOverdue(ExecutorState executor, long overdueNanos, BatchContext context) {
    executor
        .poll()
        .filter(poll -> context.nowNanos() - poll.sentAt() > overdueNanos)
        .ifPresent(
            poll -> {
              pollLimit.unanswered(poll.number());
              unanswered(executor, new OrderOutcome.Unanswered("no outcome came"), context);
            });
  }

  /** Records that a poll was not answered. */
  void unanswered(ExecutorState executor, OrderOutcome outcome, BatchContext context) {
    long nowNanos = context.nowNanos();
    long unansweredNanos = nowNanos - executor.silentSince().orElse(nowNanos);
    boolean silent = answers.silent(executor.missedPolls() + 1, unansweredNanos);
    if (silent && !executor.silent()) {
      long leaseMillis =
          Duration.ofNanos(executor.lease().expiryNanos() - context.nowNanos()).toMillis();
      context.note(
          BatchLogEvent.EXECUTOR_SILENT,
          executor.incarnation(),
          outcome,
          executor.runs().size(),
          leaseMillis);
    }
    // The first unanswered poll may just have been lost.
    boolean pauses = silent && executor.missedPolls() > 0;
    long pause = pauses ? answers.silentPollPause(executor.runs().isEmpty()).toNanos() : 0;
    executor.pollMissed(context.nowNanos(), pause, silent);
  }
}
