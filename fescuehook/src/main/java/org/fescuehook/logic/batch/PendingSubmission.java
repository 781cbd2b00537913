package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.batch.state.JobScope;

/**
 * A submission that is being stored.
 *
 * @param scope queue and organisation of its callers
 * @param tickets tickets of the calls that submitted it and wait for the outcome
 * @param cancels cancels of the job that arrived in the meantime
 */
record PendingSubmission(JobScope scope, List<Long> tickets, List<JobQuery> cancels) {

  /** Creates a submission that one call waits for. */
  static PendingSubmission of(JobScope scope, long ticket) {
    return new PendingSubmission(scope, new ArrayList<>(List.of(ticket)), new ArrayList<>());
  }
}
