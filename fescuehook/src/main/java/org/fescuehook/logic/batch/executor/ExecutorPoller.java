package org.fescuehook.logic.batch.executor;

import static java.util.Comparator.comparing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.BatchTurn;

/** Decides when executors are polled, and keeps count of those that do not answer. */
final class ExecutorPoller {

  /** Pause after polls without an answer; after the first one, which may just be lost, none. */
  private static final long MISSED_POLL_PAUSE_NANOS = Duration.ofMillis(150).toNanos();

  /** The same where nothing runs, so that nothing waits but new work. */
  private static final long IDLE_POLL_PAUSE_NANOS = Duration.ofMillis(500).toNanos();

  private final ExecutorRegistry book;
  private final OrderSender orders;
  private final AdaptivePollLimit contacts = new AdaptivePollLimit();
  private Set<String> pools = Set.of();

  ExecutorPoller(ExecutorRegistry book, OrderSender orders) {
    this.book = book;
    this.orders = orders;
  }

  /** Names the pools whose executors are asked also if nothing is known to run there. */
  void serve(Set<String> newer) {
    pools = Set.copyOf(newer);
  }

  /**
   * Asks executors that have not answered this owner, or not the last time, as far as the window
   * admits: first those with runs, whose leases need renewal, and of these first who is due
   * longest, so that some that stay silent do not take the places of the others each time.
   */
  void contact(BatchTurn turn) {
    List<ExecutorState> due = new ArrayList<>();
    for (ExecutorState executor : book.all()) {
      if (!executor.calm() && needsPoll(executor) && executor.pollDue(turn.nowNanos())) {
        due.add(executor);
      }
    }
    due.sort(
        comparing((ExecutorState executor) -> executor.runs().isEmpty())
            .thenComparingLong(ExecutorState::nextPollAt));
    due.forEach(executor -> contact(executor, turn));
  }

  /** Asks an executor now that is due by {@link #contact(BatchTurn)}, if the window admits it. */
  void contact(ExecutorState executor, BatchTurn turn) {
    boolean missed = executor.missedPolls() > 0;
    if (contacts.admits(missed)) {
      contacts.sent(orders.poll(executor, turn), missed, turn.nowNanos());
    }
  }

  /** Polls an executor that answers, if it is due. */
  void poll(ExecutorState executor, BatchTurn turn) {
    if (executor.calm() && needsPoll(executor) && executor.pollDue(turn.nowNanos())) {
      orders.poll(executor, turn);
    }
  }

  private boolean needsPoll(ExecutorState executor) {
    boolean unknown = !executor.known() && pools.contains(executor.profile().pool());
    boolean holds = !executor.runs().isEmpty() || executor.runsUnknown();
    // One that did not answer is not used, and only an answer shows that it can be used again.
    boolean doubted = (executor.missedPolls() > 0 || executor.doubted()) && executor.listed();
    return unknown || holds || doubted || executor.ends().owes();
  }

  /** Takes in how an order ended, as far as it shows how fast executors answer. */
  void orderEnded(long number, OrderOutcome outcome, BatchTurn turn) {
    if (outcome.answered()) {
      contacts.answered(number, turn.nowNanos());
    } else {
      contacts.missed(number);
    }
  }

  /** Waits no longer for a poll of an executor that is forgotten. */
  void forget(ExecutorState executor) {
    executor.poll().ifPresent(poll -> contacts.missed(poll.number()));
  }

  /** Gives up waiting for a poll whose outcome has not come for too long. */
  void missOverdue(ExecutorState executor, long overdueNanos, BatchTurn turn) {
    executor
        .poll()
        .filter(poll -> turn.nowNanos() - poll.sentAt() > overdueNanos)
        .ifPresent(
            poll -> {
              contacts.missed(poll.number());
              missed(executor, new OrderOutcome.Unanswered("no outcome came"), turn);
            });
  }

  /** Takes in that a poll had no answer. */
  void missed(ExecutorState executor, OrderOutcome outcome, BatchTurn turn) {
    if (executor.missedPolls() == 0) {
      long left = Duration.ofNanos(executor.lease().untilNanos() - turn.nowNanos()).toMillis();
      turn.note(
          BatchLogEvent.EXECUTOR_SILENT,
          executor.incarnation(),
          outcome,
          executor.runs().size(),
          left);
    }
    boolean idle = executor.runs().isEmpty();
    long repeated = idle ? IDLE_POLL_PAUSE_NANOS : MISSED_POLL_PAUSE_NANOS;
    long pause = executor.missedPolls() == 0 ? 0 : repeated;
    executor.pollMissed(turn.nowNanos(), pause);
  }
}
