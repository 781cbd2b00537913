package org.fescuehook.logic.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.request.ExecutionStatus;
import org.fescuehook.model.request.RefusalReason;

/** All requests that have not been answered, and the ways to answer one. */
final class OpenRequests {
  private static final int LONGEST_RETRY_AFTER_SECONDS = 3;

  private final Map<Long, OpenRequest> open = new HashMap<>();
  private final Map<OrganisationId, Integer> inFlight = new HashMap<>();
  private final Consumer<DispatchCommand> out;
  private final RandomGenerator random;
  private final Consumer<OpenRequest> closed;

  /**
   * Creates the table.
   *
   * @param closed hears of each request that has to be claimed, once it is open no longer
   */
  OpenRequests(
      Consumer<DispatchCommand> out, RandomGenerator random, Consumer<OpenRequest> closed) {
    this.closed = closed;
    this.out = out;
    this.random = random;
  }

  OpenRequest add(long ticket, RequestAttributes facts) {
    OpenRequest request = new OpenRequest(ticket, facts);
    open.put(ticket, request);
    inFlight.merge(facts.organisation(), 1, Integer::sum);
    return request;
  }

  Optional<OpenRequest> find(long ticket) {
    return Optional.ofNullable(open.get(ticket));
  }

  boolean isOpen(OpenRequest request) {
    return open.containsKey(request.ticket);
  }

  int inFlight(OrganisationId organisation) {
    return inFlight.getOrDefault(organisation, 0);
  }

  /** Returns the requests whose deadline has passed and that no executor's connection holds. */
  List<OpenRequest> overdue(long nowMillis) {
    List<OpenRequest> overdue = new ArrayList<>();
    for (OpenRequest request : open.values()) {
      boolean late = request.facts.deadlineMillis() <= nowMillis;
      if (late && request.state != OpenRequest.State.SENT) {
        overdue.add(request);
      }
    }
    return overdue;
  }

  Collection<OpenRequest> all() {
    return List.copyOf(open.values());
  }

  /** Refuses a request that was never taken in. */
  void refuseUnopened(long ticket, RefusalReason reason, String detail) {
    out.accept(new DispatchCommand.Refuse(ticket, reason, detail, retryAfter(reason)));
  }

  /**
   * Refuses an open request; never says that it was not run when an earlier try may have run it.
   */
  void refuse(OpenRequest request, RefusalReason reason, String detail) {
    RefusalReason known = truthful(request, reason);
    out.accept(new DispatchCommand.Refuse(request.ticket, known, detail, retryAfter(known)));
    remove(request);
  }

  private static RefusalReason truthful(OpenRequest request, RefusalReason reason) {
    if (!request.mayHaveRun || reason.ran() != ExecutionStatus.NO) {
      return reason;
    }
    return reason == RefusalReason.DEADLINE_BEFORE_DISPATCH
        ? RefusalReason.DEADLINE_AFTER_DISPATCH
        : RefusalReason.CONNECTION_LOST;
  }

  private int retryAfter(RefusalReason reason) {
    return reason.retryable() ? 1 + random.nextInt(LONGEST_RETRY_AFTER_SECONDS) : 0;
  }

  /** Answers with what is recorded for the request's id. */
  void answerRecorded(OpenRequest request, int status, String contentType, byte[] body) {
    out.accept(new DispatchCommand.AnswerRecorded(request.ticket, status, contentType, body));
    remove(request);
  }

  /** Forgets a request whose answer was passed on, or whose caller is gone. */
  void finish(OpenRequest request) {
    out.accept(new DispatchCommand.Finish(request.ticket));
    remove(request);
  }

  private void remove(OpenRequest request) {
    open.remove(request.ticket);
    if (request.facts.claimed()) {
      closed.accept(request);
    }
    inFlight.computeIfPresent(request.facts.organisation(), (id, n) -> n == 1 ? null : n - 1);
  }
}
