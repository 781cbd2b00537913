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

/** The requests that have not been answered yet; answers and rejects them. */
final class OpenRequests {
  private static final int MAX_RETRY_AFTER_SECONDS = 3;

  private final Map<Long, OpenRequest> open = new HashMap<>();
  private final Map<OrganisationId, Integer> inFlight = new HashMap<>();
  private final Consumer<DispatchCommand> out;
  private final RandomGenerator random;
  private final Consumer<OpenRequest> onClosed;

  /**
   * Creates the table.
   *
   * @param onClosed is called for each request with a claimed id, once it is no longer open
   */
  OpenRequests(
      Consumer<DispatchCommand> out, RandomGenerator random, Consumer<OpenRequest> onClosed) {
    this.onClosed = onClosed;
    this.out = out;
    this.random = random;
  }

  OpenRequest add(long ticket, RequestAttributes attributes) {
    OpenRequest request = new OpenRequest(ticket, attributes);
    open.put(ticket, request);
    inFlight.merge(attributes.organisation(), 1, Integer::sum);
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

  /** Returns the requests whose deadline has passed and that are not dispatched to an executor. */
  List<OpenRequest> expired(long nowMillis) {
    List<OpenRequest> expired = new ArrayList<>();
    for (OpenRequest request : open.values()) {
      boolean isExpired = request.attributes.deadlineMillis() <= nowMillis;
      if (isExpired && request.state != OpenRequest.State.SENT) {
        expired.add(request);
      }
    }
    return expired;
  }

  Collection<OpenRequest> all() {
    return List.copyOf(open.values());
  }

  /** Rejects a request that was never accepted. */
  void refuseUnaccepted(long ticket, RefusalReason reason, String detail) {
    out.accept(new DispatchCommand.Refuse(ticket, reason, detail, retryAfterSeconds(reason)));
  }

  /**
   * Rejects an open request. Never reports that it was not run if an earlier dispatch may have run
   * it.
   */
  void refuse(OpenRequest request, RefusalReason reason, String detail) {
    RefusalReason reported = consistentReason(request, reason);
    out.accept(
        new DispatchCommand.Refuse(request.ticket, reported, detail, retryAfterSeconds(reported)));
    remove(request);
  }

  private static RefusalReason consistentReason(OpenRequest request, RefusalReason reason) {
    if (!request.mayHaveRun || reason.executionStatus() != ExecutionStatus.NO) {
      return reason;
    }
    return reason == RefusalReason.DEADLINE_BEFORE_DISPATCH
        ? RefusalReason.DEADLINE_AFTER_DISPATCH
        : RefusalReason.CONNECTION_LOST;
  }

  private int retryAfterSeconds(RefusalReason reason) {
    return reason.retryable() ? 1 + random.nextInt(MAX_RETRY_AFTER_SECONDS) : 0;
  }

  /** Answers a request with the recorded answer for its id. */
  void answerRecorded(OpenRequest request, int status, String contentType, byte[] body) {
    out.accept(new DispatchCommand.AnswerRecorded(request.ticket, status, contentType, body));
    remove(request);
  }

  /** Removes a request whose answer was passed on or whose caller disconnected. */
  void finish(OpenRequest request) {
    out.accept(new DispatchCommand.Finish(request.ticket));
    remove(request);
  }

  private void remove(OpenRequest request) {
    open.remove(request.ticket);
    if (request.attributes.needsClaim()) {
      onClosed.accept(request);
    }
    inFlight.computeIfPresent(request.attributes.organisation(), (id, n) -> n == 1 ? null : n - 1);
  }
}
