package org.fescuehook.logic.batch.advice;

import static java.util.stream.Collectors.toUnmodifiableSet;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.store.PendingCall;
import org.fescuehook.model.fleet.Incarnation;

/**
 * Asks the advice service which executors may run the steps of queues that need its advice, and
 * caches the tickets that it issues. The service handles one call of a VM at a time, so at most one
 * request is pending, and only tickets that a plan lacks are requested. Which incarnations of
 * executors may run a step never changes; only tickets expire.
 */
public final class AdviceCache {

  /** Largest number of executors that the service accepts in one call. */
  private static final int MAX_EXECUTORS = 100;

  /**
   * Number of executors up to which a call names alternatives, and which a call about single tasks
   * does not exceed. The duration of a call grows with the number of executors.
   */
  private static final int USUAL_EXECUTORS = 30;

  /** Delay before the next call after a failed one; it doubles with each further failure. */
  private static final long RETRY_NANOS = Duration.ofMillis(200).toNanos();

  private static final int MAX_RETRY_DOUBLINGS = 3;

  /**
   * Subtracted from the validity of a ticket, as the placement must be stored and the start must
   * reach the executor while the ticket is valid.
   */
  private static final long TICKET_MARGIN_NANOS = Duration.ofMillis(300).toNanos();

  private final Map<StepProgress, StepKnowledge> steps = new IdentityHashMap<>();
  private final AdviceTurns turns = new AdviceTurns();
  private final long numberBeforeFirst;
  private Optional<Request> pendingRequest = Optional.empty();
  private final PendingCall pendingCall = new PendingCall(PendingCall.ADVICE_TIMEOUT);
  private long lastNumber;
  private long retryAt;
  private int failures;

  /** Most executors in one call; lower after a call that was not answered in time. */
  private int maxExecutors = MAX_EXECUTORS;

  /** Duration of the last call that was answered. */
  private long callNanos;

  /** The request that is pending. */
  private record Request(
      long number, StepProgress step, List<Incarnation> executors, long sentAtNanos) {}

  /** The text that a start has to carry, and the monotonic time at which it expires. */
  private record Ticket(String text, long untilNanos) {}

  /** What is known about one step. */
  private static final class StepKnowledge {
    /** Unmodifiable, as each plan takes it over. */
    private Set<Incarnation> forbidden = Set.of();

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

  /** Returns the executors for which a step has a valid ticket, and those that it may not use. */
  public StepAdvice.Ticketed advice(StepProgress step, long nowNanos) {
    StepKnowledge knowledge = steps.get(step);
    if (knowledge == null) {
      return new StepAdvice.Ticketed(Set.of(), Set.of());
    }
    Set<Incarnation> permitted =
        knowledge.tickets.entrySet().stream()
            .filter(entry -> leftNanos(entry.getValue(), nowNanos) > 0)
            .map(Map.Entry::getKey)
            .collect(toUnmodifiableSet());
    return new StepAdvice.Ticketed(permitted, knowledge.forbidden);
  }

  /** Returns the valid ticket of a step for an executor; empty if there is none. */
  public Optional<String> ticket(StepProgress step, Incarnation executor, long nowNanos) {
    return Optional.ofNullable(steps.get(step))
        .map(knowledge -> knowledge.tickets.get(executor))
        .filter(ticket -> leftNanos(ticket, nowNanos) > 0)
        .map(Ticket::text);
  }

  private static long leftNanos(Ticket ticket, long nowNanos) {
    return ticket.untilNanos() - nowNanos;
  }

  /** Returns how long the ticket of a step for an executor remains valid; 0 if there is none. */
  private long leftNanos(StepProgress step, Incarnation executor, long nowNanos) {
    return Optional.ofNullable(steps.get(step))
        .map(knowledge -> knowledge.tickets.get(executor))
        .map(ticket -> Math.max(0, leftNanos(ticket, nowNanos)))
        .orElse(0L);
  }

  /**
   * Requests tickets that a plan lacks, unless a request is pending.
   *
   * @param needs what the plan lacks, in the order of planning
   */
  public void request(List<AdviceNeed> needs, BatchContext context) {
    if (pendingCall.isPending(context) || context.nowNanos() - retryAt < 0) {
      return;
    }
    // The outcome of an earlier request may have been lost.
    pendingRequest.ifPresent(request -> ended(request, false, context));
    pendingRequest = Optional.empty();
    Map<StepProgress, List<Incarnation>> requests = new LinkedHashMap<>();
    for (AdviceNeed need : merged(needs)) {
      List<Incarnation> executors = executors(need, context.nowNanos());
      if (!executors.isEmpty()) {
        requests.put(need.step(), executors);
      }
    }
    if (!requests.isEmpty()) {
      StepProgress step = turns.next(List.copyOf(requests.keySet()));
      send(step, requests.get(step), context);
    }
  }

  /** Joins the needs of steps whose tasks are planned in several groups. */
  private static Collection<AdviceNeed> merged(List<AdviceNeed> needs) {
    Map<StepProgress, AdviceNeed> byStep = new LinkedHashMap<>();
    needs.forEach(need -> byStep.merge(need.step(), need, AdviceNeed::and));
    return byStep.values();
  }

  /** Returns the executors to name in a call; none if no ticket is missing. */
  private List<Incarnation> executors(AdviceNeed need, long nowNanos) {
    StepProgress step = need.step();
    // A ticket that expires during the call would be missing after it.
    List<Incarnation> lacking =
        need.intended().stream()
            .filter(executor -> leftNanos(step, executor, nowNanos) <= callNanos)
            .toList();
    if (lacking.isEmpty()) {
      return List.of();
    }
    Stream<Incarnation> first =
        need.together()
            ? need.intended().stream()
                .sorted(Comparator.comparingLong(executor -> leftNanos(step, executor, nowNanos)))
            : lacking.stream();
    Stream<Incarnation> alternatives =
        need.alternatives().stream().filter(executor -> leftNanos(step, executor, nowNanos) == 0);
    int usual =
        need.together() ? Math.max(need.intended().size(), USUAL_EXECUTORS) : USUAL_EXECUTORS;
    return Stream.concat(first, alternatives)
        .distinct()
        .limit(Math.min(maxExecutors, usual))
        .toList();
  }

  private void send(StepProgress step, List<Incarnation> executors, BatchContext context) {
    lastNumber++;
    pendingCall.begin(context);
    pendingRequest = Optional.of(new Request(lastNumber, step, executors, context.nowNanos()));
    context.add(
        new BatchCommand.AskAdvice(
            lastNumber, step.name(), executors.stream().map(Incarnation::id).toList()));
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
      case AdviceOutcome.Unavailable(String reason) -> unavailable(request, reason, context);
    }
    ended(request, outcome instanceof AdviceOutcome.Given, context);
  }

  private void unavailable(Request request, String reason, BatchContext context) {
    retryAt = context.nowNanos() + (RETRY_NANOS << Math.min(failures, MAX_RETRY_DOUBLINGS));
    failures++;
    context.note(
        BatchLogEvent.ADVICE_MISSING, request.step().name(), request.executors().size(), reason);
    context.count("fescuehook.batch.advice", "outcome", "unavailable");
  }

  private void given(Request request, AdviceOutcome.Given given, BatchContext context) {
    failures = 0;
    callNanos = context.nowNanos() - request.sentAtNanos();
    StepKnowledge knowledge = steps.computeIfAbsent(request.step(), step -> new StepKnowledge());
    long valid = Duration.ofMillis(given.validMillis()).toNanos() - TICKET_MARGIN_NANOS;
    Set<Incarnation> forbidden = new HashSet<>(knowledge.forbidden);
    for (Incarnation executor : request.executors()) {
      String ticket = given.tickets().get(executor.id());
      if (ticket == null) {
        forbidden.add(executor);
      } else {
        knowledge.tickets.put(executor, new Ticket(ticket, context.nowNanos() + valid));
      }
    }
    knowledge.forbidden = Set.copyOf(forbidden);
    context.note(
        BatchLogEvent.ADVICE_GIVEN,
        request.step().name(),
        given.tickets().size(),
        request.executors().size(),
        given.validMillis(),
        TimeUnit.NANOSECONDS.toMillis(callNanos));
    context.count("fescuehook.batch.advice", "outcome", "given");
  }

  /** Accounts for the time of a call, and adapts the size of later calls to it. */
  private void ended(Request request, boolean answered, BatchContext context) {
    long nanos = context.nowNanos() - request.sentAtNanos();
    turns.served(request.step(), Math.max(nanos, RETRY_NANOS));
    boolean slow = 2 * nanos > PendingCall.ADVICE_TIMEOUT.toNanos();
    if (slow && !answered) {
      maxExecutors = Math.max(1, request.executors().size() / 2);
    } else if (!slow && answered) {
      maxExecutors = Math.min(MAX_EXECUTORS, 2 * maxExecutors);
    }
  }

  /** Discards a ticket that an executor rejected, so that a new one is requested. */
  public void rejected(StepProgress step, Incarnation executor) {
    Optional.ofNullable(steps.get(step)).ifPresent(knowledge -> knowledge.tickets.remove(executor));
  }

  /** Discards the advice on steps that need no further runs. */
  public void forgetEnded() {
    steps.keySet().removeIf(AdviceCache::isEnded);
    turns.forget(AdviceCache::isEnded);
  }

  private static boolean isEnded(StepProgress step) {
    return step.done() || !step.job().open();
  }
}
