package org.fescuehook.logic.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fescuehook.logic.dispatch.DispatchResult.FailureKind;
import org.fescuehook.logic.dispatch.DispatchResult.NotSentCause;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;

/** Gives slots to waiting requests, and dispatches again what may be. */
final class SlotDispatcher {
  private final RequestPreferences preferences;
  private final String incarnation;
  private final OpenRequests requests;
  private final ExecutorTable executors;
  private final HealthWatch health;
  private final ClaimDesk claims;
  private final DelayedTasks delayed;
  private final Consumer<DispatchCommand> out;
  private final RetryBudget budget;
  private final Backoff backoff;
  private final ServiceTime serviceTime = new ServiceTime();
  private final FairQueue urgent;
  private final FairQueue normal;

  SlotDispatcher(
      RequestPreferences preferences,
      String incarnation,
      OpenRequests requests,
      ExecutorTable executors,
      ClaimDesk claims,
      DelayedTasks delayed,
      RandomGenerator random,
      Consumer<DispatchCommand> out) {
    this.preferences = preferences;
    this.incarnation = incarnation;
    this.requests = requests;
    this.executors = executors;
    this.claims = claims;
    this.delayed = delayed;
    this.out = out;
    this.health = new HealthWatch(executors, out);
    this.budget = new RetryBudget(preferences.retryBudget());
    this.backoff = new Backoff(random);
    this.urgent = new FairQueue(preferences.queueLength());
    this.normal = new FairQueue(preferences.queueLength());
  }

  void weigh(Map<OrganisationId, Double> weights) {
    urgent.weigh(weights);
    normal.weigh(weights);
  }

  /** Returns why a new request could not be dispatched in time; empty if it can be. */
  Optional<RefusalReason> hopeless(RequestAttributes facts, long nowMillis) {
    FairQueue queue = queue(facts);
    if (queue.size() >= preferences.queueLength()) {
      return Optional.of(RefusalReason.QUEUE_FULL);
    }
    int slots = executors.totalSlots(nowMillis);
    if (slots == 0) {
      return Optional.of(RefusalReason.NO_EXECUTOR);
    }
    if (executors.hasFree(facts.urgent(), nowMillis)) {
      return Optional.empty();
    }
    double ends = queue.ahead(facts.organisation()) + 1;
    boolean late = nowMillis + serviceTime.millis(ends, slots) > facts.deadlineMillis();
    return late ? Optional.of(RefusalReason.NO_EXECUTOR) : Optional.empty();
  }

  private FairQueue queue(RequestAttributes facts) {
    return facts.urgent() ? urgent : normal;
  }

  /** Takes a request that may be dispatched. */
  void enqueue(OpenRequest request, long nowMillis) {
    if (request.dispatches == 0) {
      budget.accepted(nowMillis);
    }
    request.state = OpenRequest.State.QUEUED;
    if (!queue(request.facts).add(request.facts.organisation(), request.ticket)) {
      requests.refuse(request, RefusalReason.QUEUE_FULL, "too many requests wait for a slot");
      return;
    }
    dispatchWaiting(nowMillis);
  }

  /** Forgets that a request waits. */
  void remove(OpenRequest request) {
    queue(request.facts).remove(request.facts.organisation(), request.ticket);
  }

  /** Sends as many waiting requests as there are slots, urgent ones first. */
  void dispatchWaiting(long nowMillis) {
    dispatchFrom(urgent, true, nowMillis);
    dispatchFrom(normal, false, nowMillis);
  }

  private void dispatchFrom(FairQueue queue, boolean isUrgent, long nowMillis) {
    while (!queue.isEmpty() && executors.hasFree(isUrgent, nowMillis)) {
      OptionalLong next = queue.take(ticket -> isWaiting(ticket, nowMillis));
      if (next.isEmpty()) {
        return;
      }
      send(requests.find(next.getAsLong()).orElseThrow(), nowMillis);
    }
  }

  private boolean isWaiting(long ticket, long nowMillis) {
    Optional<OpenRequest> request = requests.find(ticket);
    if (request.isEmpty() || request.get().state != OpenRequest.State.QUEUED) {
      return false;
    }
    if (request.get().facts.deadlineMillis() > nowMillis) {
      return true;
    }
    requests.refuse(
        request.get(), RefusalReason.DEADLINE_BEFORE_DISPATCH, "deadline passed in the queue");
    return false;
  }

  private void send(OpenRequest request, long nowMillis) {
    boolean isUrgent = request.facts.urgent();
    Optional<ExecutorId> chosen = executors.take(isUrgent, request.tried, nowMillis);
    if (chosen.isEmpty()) {
      // Only executors that were tried before have a free slot; another one will have soon.
      backOff(request, nowMillis);
      return;
    }
    request.state = OpenRequest.State.SENT;
    request.executor = chosen;
    request.dispatches++;
    String token = incarnation + "-" + request.ticket + "-" + request.dispatches;
    long progressMillis = progressMillis(request, nowMillis);
    out.accept(new DispatchCommand.Send(request.ticket, chosen.get(), token, progressMillis));
  }

  /** Half of the time left, so that a retry has the other half. */
  private long progressMillis(OpenRequest request, long nowMillis) {
    if (!request.facts.repeatable() || request.dispatches >= preferences.maxTries()) {
      return 0;
    }
    return Math.max(1, (request.facts.deadlineMillis() - nowMillis) / 2);
  }

  /** Takes the end of a dispatch. */
  void ended(OpenRequest request, DispatchResult end, long tookMillis, long nowMillis) {
    ExecutorId executor = request.executor.orElseThrow();
    executors.release(executor);
    request.executor = Optional.empty();
    health.ended(executor, end, nowMillis);
    switch (end) {
      case DispatchResult.Answered answered -> {
        serviceTime.took(tookMillis);
        claims.answered(request, answered);
        requests.finish(request);
      }
      case DispatchResult.NotSent notSent -> notSent(request, executor, notSent.cause(), nowMillis);
      case DispatchResult.RefusedNotRun() ->
          retry(
              request,
              executor,
              RetryReason.REFUSED_NOT_RUN,
              RefusalReason.EXECUTORS_REFUSED,
              nowMillis);
      case DispatchResult.Failed failed -> failed(request, executor, failed, nowMillis);
    }
    dispatchWaiting(nowMillis);
  }

  private void notSent(
      OpenRequest request, ExecutorId executor, NotSentCause cause, long nowMillis) {
    switch (cause) {
      case DEADLINE ->
          requests.refuse(
              request, RefusalReason.DEADLINE_BEFORE_DISPATCH, "deadline passed before the write");
      case CONNECT_FAILED -> retryUnsent(request, executor, RetryReason.CONNECT_FAILED, nowMillis);
      case NO_CONNECTION -> retryUnsent(request, executor, RetryReason.NO_CONNECTION, nowMillis);
      case CONNECTION_CLOSED ->
          retryUnsent(request, executor, RetryReason.CONNECTION_CLOSED, nowMillis);
    }
  }

  private void retryUnsent(
      OpenRequest request, ExecutorId executor, RetryReason reason, long nowMillis) {
    retry(request, executor, reason, RefusalReason.NO_EXECUTOR, nowMillis);
  }

  private void failed(
      OpenRequest request, ExecutorId executor, DispatchResult.Failed failed, long nowMillis) {
    request.mayHaveRun = true;
    if (failed.answerStarted()) {
      // The caller's connection is cut by whoever passes the answer on.
      requests.finish(request);
      return;
    }
    RefusalReason refusal = refusal(failed.kind());
    if (!request.facts.repeatable() || failed.kind() == FailureKind.DEADLINE) {
      requests.refuse(request, refusal, "at executor " + executor);
      return;
    }
    retry(request, executor, retryReason(failed.kind()), refusal, nowMillis);
  }

  private static RefusalReason refusal(FailureKind kind) {
    return switch (kind) {
      case CONNECTION_LOST, NO_PROGRESS -> RefusalReason.CONNECTION_LOST;
      case BAD_ANSWER -> RefusalReason.BAD_ANSWER;
      case DEADLINE -> RefusalReason.DEADLINE_AFTER_DISPATCH;
    };
  }

  private static RetryReason retryReason(FailureKind kind) {
    return switch (kind) {
      case CONNECTION_LOST -> RetryReason.CONNECTION_LOST;
      case NO_PROGRESS -> RetryReason.NO_PROGRESS;
      case BAD_ANSWER -> RetryReason.BAD_ANSWER;
      case DEADLINE -> throw new IllegalArgumentException("a passed deadline is not retried");
    };
  }

  private void retry(
      OpenRequest request,
      ExecutorId executor,
      RetryReason reason,
      RefusalReason otherwise,
      long nowMillis) {
    request.tried.add(executor);
    if (request.cancelled) {
      requests.finish(request);
      return;
    }
    if (request.dispatches >= preferences.maxTries()) {
      requests.refuse(request, otherwise, "after " + request.dispatches + " dispatches");
      return;
    }
    if (!budget.take(nowMillis)) {
      out.accept(new DispatchCommand.Count("fescuehook.requests.retries.over.budget"));
      requests.refuse(request, otherwise, "no retry: the budget of retries is spent");
      return;
    }
    out.accept(new DispatchCommand.CountRetry(reason));
    backOff(request, nowMillis);
  }

  private void backOff(OpenRequest request, long nowMillis) {
    request.state = OpenRequest.State.BACKING_OFF;
    long waitMillis = Math.max(1, backoff.millis(request.dispatches));
    delayed.after(nowMillis, waitMillis, () -> resume(request, nowMillis + waitMillis));
  }

  private void resume(OpenRequest request, long nowMillis) {
    if (requests.isOpen(request) && request.state == OpenRequest.State.BACKING_OFF) {
      enqueue(request, nowMillis);
    }
  }

  /** Takes that a pooled connection gave no sign of life. */
  void pathSuspected(ExecutorId executor) {
    health.suspected(executor);
  }

  /** Takes the result of trying a fresh connection. */
  void pathChecked(ExecutorId executor, boolean reachable, long nowMillis) {
    health.checked(executor, reachable, nowMillis);
  }
}
