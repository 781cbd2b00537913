package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.junit.jupiter.api.Test;

/**
 * Guards against live owners that replace each other while the store loses answers: it processes
 * every append within 4 ms, but loses 4 of 10 answers for a while and applies some unanswered
 * appends seconds later. If an owner waited a second for an answer and refused calls meanwhile, the
 * other VMs would suspect it, and the first to claim would meet the same store; there were eight
 * owners within nine seconds.
 */
class LossyStoreTest {

  private static final long TROUBLE_MILLIS = 15_000;
  private static final long BETWEEN_JOBS_MILLIS = 50;

  /** Least share of submissions that are accepted while answers are lost; otherwise all are. */
  private static final double MIN_SERVED_SHARE = 0.98;

  private final BatchCluster cluster = new BatchCluster(8, 20, 4);

  /** Tells all VMs, as callers do, that the owner cannot reach the store. */
  private void reportRefusals(Set<String> reported) {
    for (Map.Entry<String, CallAnswer> answer : cluster.submissions.entrySet()) {
      boolean storeUnavailable =
          answer.getValue() instanceof CallAnswer.Refused refused
              && refused.cause() == RefusalCause.STORE_AWAY;
      if (storeUnavailable && reported.add(answer.getKey())) {
        cluster.vms.values().forEach(vm -> vm.deliver(new BatchEvent.OwnerDoubted()));
      }
    }
  }

  private void submitContinuously() {
    Set<String> reported = new HashSet<>();
    for (long at = 0; at < TROUBLE_MILLIS; at += BETWEEN_JOBS_MILLIS) {
      cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 400)));
      cluster.run(BETWEEN_JOBS_MILLIS);
      reportRefusals(reported);
    }
  }

  @Test
  void aLiveOwnerIsNotReplacedAndAcceptsJobsWhileAnswersAreLost() {
    cluster.awaitOwner();
    cluster.run(2000);
    int before = cluster.ownershipsWon();
    cluster.faults.lostAnswerRate = 0.4;
    submitContinuously();
    cluster.faults.lostAnswerRate = 0;
    cluster.run(2000);

    assertEquals(before, cluster.ownershipsWon(), "a live owner was replaced");
    long asked = TROUBLE_MILLIS / BETWEEN_JOBS_MILLIS;
    long accepted =
        cluster.submissions.values().stream().filter(CallAnswer.Accepted.class::isInstance).count();
    assertTrue(accepted >= MIN_SERVED_SHARE * asked, () -> accepted + " of " + asked + " accepted");
  }
}
