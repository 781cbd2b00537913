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
 * Asks the advice service which executors may run the steps of queues that need its advice, and
 * caches the tickets that it issues. The service handles one call of a VM at a time, so at most one
 * request is pending. Which incarnations of executors may run a step never changes; only tickets
 * expire.
 */
public final class AdviceCache {

  /** Largest number of executors that the service accepts in one call. */
  private static final int MAX_EXECUTORS = 100;

  /** Delay before the retry after a failed call; the service refuses calls while 32 wait. */
  private static final long RETRY_NANOS = Duration.ofMillis(200).toNanos();

  /**
   * Subtracted from the validity of a ticket, as the placement must be stored and the start must
   * reach the executor while the ticket is valid.
   */
  private static final long TICKET_MARGIN_NANOS = Duration.ofMillis(300).toNanos();

  private final Map<StepProgress, StepAdvice> steps = new HashMap<>();
  private final long numberBeforeFirst;
  private Optional<Request> pendingRequest = Optional.empty();
  private final PendingCall pendingCall = new PendingCall(PendingCall.ADVICE_TIMEOUT);
  private long lastNumber;
  private long retryAt;

  /** The request that is pending. */
  private record Request(long number, StepProgress step, List<Incarnation> executors) {}

  /** The text that a start has to carry, and the monotonic time at which it expires. */
  private record Ticket(String text, long untilNanos) {}

  /** The advice known about one step. */
  private static final class StepAdvice {
    private final Set<Incarnation> forbidden = new HashSet<>();
    private final Map<Incarnation, Ticket> tickets = new HashMap<>();
  }

  /**
   * Creates the empty cache of an epoch.
   *
   * @param numberBeforeFirst number directly below the request numbers of this epoch
   */
  public AdviceCache(long numberBeforeFirst, BatchContext context) {
    this.numberBeforeFirst = numberBeforeFirst;
    this.lastNumber = numberBeforeFirst;
    this.retryAt = context.nowNanos();
  }

  /** Returns the executors for which a step has a valid ticket. */
  public Set<Incarnation> permitted(StepProgress step, long nowNanos) {
    Set<Incarnation> permitted = new HashSet<>();
    Optional.ofNullable(steps.get(step))
        .ifPresent(
            advice ->
                advice.tickets.forEach(
                    (executor, ticket) -> {
                      if (isValid(ticket, nowNanos)) {
                        permitted.add(executor);
                      }
                    }));
    return permitted;
  }

  /** Returns the valid ticket of a step for an executor; empty if there is none. */
  public Optional<String> ticket(StepProgress step, Incarnation executor, long nowNanos) {
    return Optional.ofNullable(steps.get(step))
        .map(advice -> advice.tickets.get(executor))
        .filter(ticket -> isValid(ticket, nowNanos))
        .map(Ticket::text);
  }

  private static boolean isValid(Ticket ticket, long nowNanos) {
    return ticket.untilNanos() - nowNanos > 0;
  }

  /**
   * Requests advice about a waiting step unless a request is pending. It asks for the executors
   * that the service has given no answer on yet, and for permitted ones whose tickets have expired.
   *
   * @param usable executors that the step could run on
   */
  public void ask(StepProgress step, List<Incarnation> usable, BatchContext context) {
    if (pendingCall.isPending(context) || context.nowNanos() - retryAt < 0) {
      return;
    }
    StepAdvice advice = steps.computeIfAbsent(step, name -> new StepAdvice());
    List<Incarnation> requested =
        usable.stream()
            .filter(executor -> !advice.forbidden.contains(executor))
            .filter(executor -> ticket(step, executor, context.nowNanos()).isEmpty())
            .limit(MAX_EXECUTORS)
            .toList();
    if (requested.isEmpty()) {
      return;
    }
    lastNumber++;
    pendingCall.begin(context);
    pendingRequest = Optional.of(new Request(lastNumber, step, requested));
    context.add(
        new BatchCommand.AskAdvice(
            lastNumber, step.name(), requested.stream().map(Incarnation::id).toList()));
  }

  /** Applies the outcome of a request; an outcome from an earlier epoch is ignored. */
  public void answered(long number, AdviceOutcome outcome, BatchContext context) {
    if (number <= numberBeforeFirst
        || pendingRequest.filter(request -> request.number() == number).isEmpty()) {
      return;
    }
    Request request = pendingRequest.get();
    pendingRequest = Optional.empty();
    pendingCall.end();
    switch (outcome) {
      case AdviceOutcome.Given given -> given(request, given, context);
      case AdviceOutcome.Unavailable(String reason) -> {
        retryAt = context.nowNanos() + RETRY_NANOS;
        context.note(BatchLogEvent.ADVICE_MISSING, request.step().name(), reason);
        context.count("fescuehook.batch.advice", "outcome", "unavailable");
      }
    }
  }

  private void given(Request request, AdviceOutcome.Given given, BatchContext context) {
    StepAdvice advice = steps.computeIfAbsent(request.step(), name -> new StepAdvice());
    long valid = Duration.ofMillis(given.validMillis()).toNanos() - TICKET_MARGIN_NANOS;
    for (Incarnation executor : request.executors()) {
      String ticket = given.tickets().get(executor.id());
      if (ticket == null) {
        advice.forbidden.add(executor);
      } else {
        advice.tickets.put(executor, new Ticket(ticket, context.nowNanos() + valid));
      }
    }
    context.note(
        BatchLogEvent.ADVICE_GIVEN,
        request.step().name(),
        given.tickets().size(),
        request.executors().size(),
        given.validMillis());
    context.count("fescuehook.batch.advice", "outcome", "given");
  }

  /** Discards a ticket that an executor rejected, so that a new one is requested. */
  public void rejected(StepProgress step, Incarnation executor) {
    Optional.ofNullable(steps.get(step)).ifPresent(advice -> advice.tickets.remove(executor));
  }

  /** Discards the advice on steps that need no further runs. */
  public void forgetEnded() {
    steps.keySet().removeIf(step -> step.done() || !step.job().open());
  }
}
