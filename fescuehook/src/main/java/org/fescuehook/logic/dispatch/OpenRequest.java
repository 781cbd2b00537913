package org.fescuehook.logic.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.fleet.ExecutorId;

/** A request that has not been answered yet. Used only by the thread of the dispatch core. */
final class OpenRequest {
  /** Stage of processing. */
  enum State {
    /** Waits until its claim is read back from the log. */
    CLAIMING,
    /** Waits for the outcome of another request with the same id. */
    FOLLOWING,
    /** Waits for a slot. */
    QUEUED,
    /** Waits for the backoff delay before it is dispatched again. */
    BACKING_OFF,
    /** Passed to an executor's connection. */
    SENT
  }

  final long ticket;
  final RequestAttributes attributes;
  final List<ExecutorId> tried = new ArrayList<>(0);
  State state = State.QUEUED;
  Optional<ExecutorId> executor = Optional.empty();
  Optional<String> claimToken = Optional.empty();
  int dispatches;
  int fetches;
  boolean claimWon;
  boolean outcomeRecorded;
  boolean cancelled;
  // Set once any byte may have reached an executor, unless it reported not having run the request.
  boolean mayHaveRun;

  OpenRequest(long ticket, RequestAttributes attributes) {
    this.ticket = ticket;
    this.attributes = attributes;
  }
}
