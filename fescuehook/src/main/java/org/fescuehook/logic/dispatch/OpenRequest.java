package org.fescuehook.logic.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.fleet.ExecutorId;

/** A request that has not been answered. Used by the dispatch core only. */
final class OpenRequest {
  /** Where the request is. */
  enum State {
    /** Its claim is not read back. */
    CLAIMING,
    /** Another request with the same id is being run. */
    FOLLOWING,
    /** Waits for a slot. */
    QUEUED,
    /** Waits before it is dispatched again. */
    BACKING_OFF,
    /** Handed to an executor's connection. */
    SENT
  }

  final long ticket;
  final RequestAttributes facts;
  final List<ExecutorId> tried = new ArrayList<>(0);
  State state = State.QUEUED;
  Optional<ExecutorId> executor = Optional.empty();
  Optional<String> claimToken = Optional.empty();
  int dispatches;
  int fetches;
  boolean claimWon;
  boolean settled;
  boolean cancelled;
  // Set once a byte may have reached an executor that did not deny having run the request.
  boolean mayHaveRun;

  OpenRequest(long ticket, RequestAttributes facts) {
    this.ticket = ticket;
    this.facts = facts;
  }
}
