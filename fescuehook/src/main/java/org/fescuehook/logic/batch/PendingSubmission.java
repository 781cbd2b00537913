package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.List;

/**
 * A submission that is being stored.
 *
 * @param tickets tickets of the calls that submitted it and wait for the outcome
 * @param cancels cancels of the job that arrived in the meantime
 */
record PendingSubmission(List<Long> tickets, List<JobQuery> cancels) {

  /** Creates a submission that one call waits for. */
  static PendingSubmission of(long ticket) {
    return new PendingSubmission(new ArrayList<>(List.of(ticket)), new ArrayList<>());
  }
}
