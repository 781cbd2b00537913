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

/**
 * Dispatches waiting requests to free slots of executors, and retries failed dispatches where that
 * is safe.
 */
final class SlotDispatcher {
  private final RequestPreferences preferences;
  private final String incarnation;
  private final OpenRequests openRequests;
  private final ExecutorTable executors;
  private final HealthMonitor health;
  private final ClaimHandler claims;
  private final DelayedTasks delayedTasks;
  private final Consumer<DispatchCommand> out;
  private final RetryBudget budget;
  private final Backoff backoff;
  private final ServiceTime serviceTime = new ServiceTime();
  private final FairQueue urgent;
  private final FairQueue normal;

  SlotDispatcher(
      RequestPreferences preferences,
      String incarnation,
      OpenRequests openRequests,
      ExecutorTable executors,
      ClaimHandler claims,
      DelayedTasks delayedTasks,
      RandomGenerator random,
      Consumer<DispatchCommand> out) {
    this.preferences = preferences;
    this.incarnation = incarnation;
    this.openRequests = openRequests;
    this.executors = executors;
    this.claims = claims;
    this.delayedTasks = delayedTasks;
    this.out = out;
    this.health = new HealthMonitor(executors, out);
    this.budget = new RetryBudget(preferences.retryBudget());
    this.backoff = new Backoff(random);
    this.urgent = new FairQueue(preferences.queueLength());
    this.normal = new FairQueue(preferences.queueLength());
  }

  void setWeights(Map<OrganisationId, Double> weights) {
    urgent.setWeights(weights);
    normal.setWeights(weights);
  }

  /**
   * Returns why a new request is rejected on arrival because its queue is full or no slot is
   * expected to be free before its deadline; empty if it is accepted.
   */
  Optional<RefusalReason> refusalOnArrival(RequestAttributes attributes, long nowMillis) {
    FairQueue queue = queue(attributes);
    if (queue.size() >= preferences.queueLength()) {
      return Optional.of(RefusalReason.QUEUE_FULL);
    }
    int slots = executors.totalSlots(nowMillis);
    if (slots == 0) {
      return Optional.of(RefusalReason.NO_EXECUTOR);
    }
    if (executors.hasFreeSlot(attributes.urgent(), nowMillis)) {
      return Optional.empty();
    }
    double requestsToEnd = queue.requestsAhead(attributes.organisation()) + 1;
    boolean tooLate =
        nowMillis + serviceTime.expectedMillis(requestsToEnd, slots) > attributes.deadlineMillis();
    return tooLate ? Optional.of(RefusalReason.NO_EXECUTOR) : Optional.empty();
  }

  private FairQueue queue(RequestAttributes attributes) {
    return attributes.urgent() ? urgent : normal;
  }

  /** Queues a request that may be dispatched. */
  void enqueue(OpenRequest request, long nowMillis) {
    if (request.dispatches == 0) {
      budget.requestAccepted(nowMillis);
    }
    request.state = OpenRequest.State.QUEUED;
    if (!queue(request.attributes).add(request.attributes.organisation(), request.ticket)) {
      openRequests.refuse(request, RefusalReason.QUEUE_FULL, "too many requests wait for a slot");
      return;
    }
    dispatchWaiting(nowMillis);
  }

  /** Removes a request from its queue. */
  void remove(OpenRequest request) {
    queue(request.attributes).remove(request.attributes.organisation(), request.ticket);
  }

  /** Dispatches as many waiting requests as there are free slots, urgent ones first. */
  void dispatchWaiting(long nowMillis) {
    dispatchFrom(urgent, true, nowMillis);
    dispatchFrom(normal, false, nowMillis);
  }

  private void dispatchFrom(FairQueue queue, boolean isUrgent, long nowMillis) {
    while (!queue.isEmpty() && executors.hasFreeSlot(isUrgent, nowMillis)) {
      OptionalLong next = queue.poll(ticket -> isWaiting(ticket, nowMillis));
      if (next.isEmpty()) {
        return;
      }
      dispatch(openRequests.find(next.getAsLong()).orElseThrow(), nowMillis);
    }
  }

  private boolean isWaiting(long ticket, long nowMillis) {
    Optional<OpenRequest> request = openRequests.find(ticket);
    if (request.isEmpty() || request.get().state != OpenRequest.State.QUEUED) {
      return false;
    }
    if (request.get().attributes.deadlineMillis() > nowMillis) {
      return true;
    }
    openRequests.refuse(
        request.get(), RefusalReason.DEADLINE_BEFORE_DISPATCH, "deadline passed in the queue");
    return false;
  }

  private void dispatch(OpenRequest request, long nowMillis) {
    boolean isUrgent = request.attributes.urgent();
    Optional<ExecutorId> chosen = executors.acquire(isUrgent, request.tried, nowMillis);
    if (chosen.isEmpty()) {
      // Only executors that this request already tried have a free slot; retries later, when
      // another executor may have one.
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

  /** Returns half of the time until the deadline, so that the other half remains for a retry. */
  private long progressMillis(OpenRequest request, long nowMillis) {
    if (!request.attributes.repeatable() || request.dispatches >= preferences.maxTries()) {
      return 0;
    }
    return Math.max(1, (request.attributes.deadlineMillis() - nowMillis) / 2);
  }

  /** Handles the end of a dispatch. */
  void dispatchEnded(OpenRequest request, DispatchResult result, long tookMillis, long nowMillis) {
    ExecutorId executor = request.executor.orElseThrow();
    executors.release(executor);
    request.executor = Optional.empty();
    health.dispatchEnded(executor, result, nowMillis);
    switch (result) {
      case DispatchResult.Answered answered -> {
        serviceTime.addSample(tookMillis);
        claims.answered(request, answered);
        openRequests.finish(request);
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
          openRequests.refuse(
              request, RefusalReason.DEADLINE_BEFORE_DISPATCH, "deadline passed before the write");
      case CONNECT_FAILED -> retryNotSent(request, executor, RetryReason.CONNECT_FAILED, nowMillis);
      case NO_CONNECTION -> retryNotSent(request, executor, RetryReason.NO_CONNECTION, nowMillis);
      case CONNECTION_CLOSED ->
          retryNotSent(request, executor, RetryReason.CONNECTION_CLOSED, nowMillis);
    }
  }

  private void retryNotSent(
      OpenRequest request, ExecutorId executor, RetryReason reason, long nowMillis) {
    retry(request, executor, reason, RefusalReason.NO_EXECUTOR, nowMillis);
  }

  private void failed(
      OpenRequest request, ExecutorId executor, DispatchResult.Failed failed, long nowMillis) {
    request.mayHaveRun = true;
    if (failed.answerStarted()) {
      // The code that passes the answer on closes the caller's connection.
      openRequests.finish(request);
      return;
    }
    RefusalReason refusal = refusal(failed.kind());
    if (!request.attributes.repeatable() || failed.kind() == FailureKind.DEADLINE) {
      openRequests.refuse(request, refusal, "at executor " + executor);
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
      RefusalReason refusalWithoutRetry,
      long nowMillis) {
    request.tried.add(executor);
    if (request.cancelled) {
      openRequests.finish(request);
      return;
    }
    if (request.dispatches >= preferences.maxTries()) {
      openRequests.refuse(
          request, refusalWithoutRetry, "after " + request.dispatches + " dispatches");
      return;
    }
    if (!budget.tryConsume(nowMillis)) {
      out.accept(new DispatchCommand.Count("fescuehook.requests.retries.over.budget"));
      openRequests.refuse(request, refusalWithoutRetry, "no retry: the budget of retries is spent");
      return;
    }
    out.accept(new DispatchCommand.CountRetry(reason));
    backOff(request, nowMillis);
  }

  private void backOff(OpenRequest request, long nowMillis) {
    request.state = OpenRequest.State.BACKING_OFF;
    long delayMillis = Math.max(1, backoff.delayMillis(request.dispatches));
    delayedTasks.schedule(nowMillis, delayMillis, () -> resume(request, nowMillis + delayMillis));
  }

  private void resume(OpenRequest request, long nowMillis) {
    if (openRequests.isOpen(request) && request.state == OpenRequest.State.BACKING_OFF) {
      enqueue(request, nowMillis);
    }
  }

  /** Handles a pooled connection that made no progress. */
  void pathSuspected(ExecutorId executor) {
    health.pathSuspected(executor);
  }

  /** Handles the result of opening a new connection to check an executor. */
  void pathChecked(ExecutorId executor, boolean reachable, long nowMillis) {
    health.pathChecked(executor, reachable, nowMillis);
  }
}
