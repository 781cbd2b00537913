package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.List;

/**
 * A submission on its way to the store.
 *
 * @param tickets who waits for its acceptance
 * @param cancels who has cancelled it meanwhile
 */
record PendingSubmission(List<Long> tickets, List<JobQuery> cancels) {

  /** Returns a submission that one call waits for. */
  static PendingSubmission of(long ticket) {
    return new PendingSubmission(new ArrayList<>(List.of(ticket)), new ArrayList<>());
  }
}
