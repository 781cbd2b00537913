package org.fescuehook.logic.batch.advice;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.store.PendingCall;
import org.fescuehook.model.fleet.Incarnation;

/**
 * Asks the advice service which executors may run steps of queues that need its advice, and keeps
 * the tickets that it gives. The service handles one call of a VM at a time, so one is under way at
 * most. Which lives of executors may run a step never changes; only tickets expire.
 */
public final class AdviceCache {

  /** Most executors that the service takes in one call. */
  private static final int MOST_EXECUTORS = 100;

  /** Pause after a call that had no answer; the service refuses while 32 calls wait. */
  private static final long RETRY_NANOS = Duration.ofMillis(200).toNanos();

  /**
   * Taken off the time that a ticket holds, for a placement's way to the store and the executor.
   */
  private static final long TICKET_MARGIN_NANOS = Duration.ofMillis(300).toNanos();

  private final Map<StepProgress, Known> steps = new HashMap<>();
  private final long firstNumber;
  private Optional<Asked> underWay = Optional.empty();
  private final PendingCall waiting = new PendingCall(PendingCall.ADVICE_TIMEOUT);
  private long lastNumber;
  private long askAgainAt;

  /** A question under way. */
  private record Asked(long number, StepProgress step, List<Incarnation> executors) {}

  /** What a start has to carry, and until when it holds; monotonic time. */
  private record Ticket(String text, long untilNanos) {}

  /** What is known of one step. */
  private static final class Known {
    private final Set<Incarnation> forbidden = new HashSet<>();
    private final Map<Incarnation, Ticket> tickets = new HashMap<>();
  }

  /**
   * Creates the duty of an epoch.
   *
   * @param firstNumber number that no question of an earlier epoch had
   */
  public AdviceCache(long firstNumber, BatchContext context) {
    this.firstNumber = firstNumber;
    this.lastNumber = firstNumber;
    this.askAgainAt = context.nowNanos();
  }

  /** Returns the executors on which a step may start now. */
  public Set<Incarnation> permitted(StepProgress step, long nowNanos) {
    Set<Incarnation> permitted = new HashSet<>();
    Optional.ofNullable(steps.get(step))
        .ifPresent(
            known ->
                known.tickets.forEach(
                    (executor, ticket) -> {
                      if (holds(ticket, nowNanos)) {
                        permitted.add(executor);
                      }
                    }));
    return permitted;
  }

  /** Returns what a start of a step on an executor has to carry; absent if there is no ticket. */
  public Optional<String> ticket(StepProgress step, Incarnation executor, long nowNanos) {
    return Optional.ofNullable(steps.get(step))
        .map(known -> known.tickets.get(executor))
        .filter(ticket -> holds(ticket, nowNanos))
        .map(Ticket::text);
  }

  private static boolean holds(Ticket ticket, long nowNanos) {
    return ticket.untilNanos() - nowNanos > 0;
  }

  /**
   * Asks about a step that waits if no question is under way: about executors that were not asked
   * about yet, or about permitted ones whose tickets have expired.
   */
  public void ask(StepProgress step, List<Incarnation> usable, BatchContext context) {
    if (waiting.isPending(context) || context.nowNanos() - askAgainAt < 0) {
      return;
    }
    Known known = steps.computeIfAbsent(step, name -> new Known());
    List<Incarnation> wanted =
        usable.stream()
            .filter(executor -> !known.forbidden.contains(executor))
            .filter(executor -> ticket(step, executor, context.nowNanos()).isEmpty())
            .limit(MOST_EXECUTORS)
            .toList();
    if (wanted.isEmpty()) {
      return;
    }
    lastNumber++;
    waiting.begin(context);
    underWay = Optional.of(new Asked(lastNumber, step, wanted));
    context.add(
        new BatchCommand.AskAdvice(
            lastNumber, step.name(), wanted.stream().map(Incarnation::id).toList()));
  }

  /** Takes an answer; one to a question of an earlier epoch is dropped. */
  public void answered(long number, AdviceOutcome outcome, BatchContext context) {
    if (number <= firstNumber || underWay.filter(asked -> asked.number() == number).isEmpty()) {
      return;
    }
    Asked asked = underWay.get();
    underWay = Optional.empty();
    waiting.end();
    switch (outcome) {
      case AdviceOutcome.Given given -> given(asked, given, context);
      case AdviceOutcome.Unavailable(String reason) -> {
        askAgainAt = context.nowNanos() + RETRY_NANOS;
        context.note(BatchLogEvent.ADVICE_MISSING, asked.step().name(), reason);
        context.count("fescuehook.batch.advice", "outcome", "unavailable");
      }
    }
  }

  private void given(Asked asked, AdviceOutcome.Given given, BatchContext context) {
    Known known = steps.computeIfAbsent(asked.step(), name -> new Known());
    long valid = Duration.ofMillis(given.validMillis()).toNanos() - TICKET_MARGIN_NANOS;
    for (Incarnation executor : asked.executors()) {
      String ticket = given.tickets().get(executor.id());
      if (ticket == null) {
        known.forbidden.add(executor);
      } else {
        known.tickets.put(executor, new Ticket(ticket, context.nowNanos() + valid));
      }
    }
    context.note(
        BatchLogEvent.ADVICE_GIVEN,
        asked.step().name(),
        given.tickets().size(),
        asked.executors().size(),
        given.validMillis());
    context.count("fescuehook.batch.advice", "outcome", "given");
  }

  /** An executor did not take a ticket: it is asked about again. */
  public void rejected(StepProgress step, Incarnation executor) {
    Optional.ofNullable(steps.get(step)).ifPresent(known -> known.tickets.remove(executor));
  }

  /** Forgets steps that need no further start. */
  public void forgetEnded() {
    steps.keySet().removeIf(step -> step.done() || !step.job().open());
  }
}
