package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that answers "no such job" to a status call after the job was accepted,
 * because the submission was on its way to the store when the call arrived and the job is not
 * looked up again before the answer.
 */
class StatusDuringSubmissionTest {

  private static final String ID = "00000000000000aa";

  private final BatchCluster cluster = new BatchCluster(3, 4, 1);

  @Test
  void aJobAcceptedAfterTheStatusCallIsNotReportedAsUnknown() {
    cluster.awaitOwner();
    cluster.run(500);
    long asked =
        cluster.call(new BatchCall.Status(BatchCluster.NORMAL, BatchCluster.KEY, ID)).orElseThrow();
    long submitted =
        cluster
            .call(
                new BatchCall.Submit(
                    BatchCluster.NORMAL, BatchCluster.KEY, ID, Jobs.of(Jobs.tasks(1, 1, 5000))))
            .orElseThrow();
    cluster.run(5);
    assertEquals(new CallAnswer.Accepted(), cluster.answers.get(submitted));
    boolean answeredBefore = cluster.answers.containsKey(asked);
    cluster.run(1500);
    boolean denied = new CallAnswer.NoSuchJob().equals(cluster.answers.get(asked));
    assertTrue(answeredBefore || !denied, "answered as unknown after the job was accepted");
  }
}
