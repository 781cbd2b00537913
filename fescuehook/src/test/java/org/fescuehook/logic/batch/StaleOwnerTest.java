package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.junit.jupiter.api.Test;

/**
 * Guards against "no such key" and "no such queue" from an owner that cannot read the operators'
 * records, while keys and queues may have been declared.
 */
class StaleOwnerTest {

  private final BatchCluster cluster = new BatchCluster(1, 4, 1);

  private CallAnswer answerTo(String queue, String key) {
    BatchCall call = new BatchCall.Cancel(queue, key, "a1");
    long ticket = cluster.call(call).orElseThrow();
    cluster.run(20);
    return cluster.answers.get(ticket);
  }

  @Test
  void anOwnerThatReadTheOperatorsRecordsRecentlyKnowsWhatDoesNotExist() {
    cluster.awaitOwner();
    cluster.run(2000);
    assertEquals(new CallAnswer.UnknownKey(), answerTo(BatchCluster.NORMAL, "new-key"));
    assertEquals(new CallAnswer.NoSuchQueue(), answerTo("new", BatchCluster.KEY));
  }

  @Test
  void anOwnerThatCannotReadThemRefusesWhatItDoesNotKnow() {
    cluster.awaitOwner();
    cluster.run(2000);
    cluster.faults.dropped = (vm, event) -> event instanceof BatchEvent.OperatorsRead;
    cluster.run(4000);
    assertRefused(answerTo(BatchCluster.NORMAL, "new-key"));
    assertRefused(answerTo("new", BatchCluster.KEY));
    cluster.faults.dropped = ClusterFaults.NOTHING_DROPPED;
    cluster.run(1100);
    assertEquals(new CallAnswer.UnknownKey(), answerTo(BatchCluster.NORMAL, "new-key"));
  }

  private static void assertRefused(CallAnswer answer) {
    CallAnswer.Refused refused = assertInstanceOf(CallAnswer.Refused.class, answer);
    assertEquals(RefusalCause.STALE_CONFIGURATION, refused.cause());
  }
}
