package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Optional;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a cancel that gets no answer, and does not take effect, because its owner is
 * replaced while the cancel is on its way to the store: an owner that lost its epoch reported the
 * submissions that it had not stored, but not the pending cancels, so no VM sent them to the next
 * owner.
 */
class CancelAtLostOwnerTest {

  private final BatchCluster cluster = new BatchCluster(2, 4, 1);

  @Test
  void aPendingCancelIsUndecidedWhenTheOwnerIsReplaced() {
    cluster.awaitOwner();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 60_000)));
    cluster.runUntil("an acceptance", 1000, () -> cluster.submissions.containsKey(job));
    VmId former = cluster.owner().orElseThrow().id;
    cluster.faults.cutFromStore.add(former);
    BatchCall cancel = new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job);
    long ticket = cluster.call(cancel).orElseThrow();
    cluster.runUntil("another owner", 10_000, () -> cluster.ownershipsWon() > 1);
    assertEquals(Optional.empty(), Optional.ofNullable(cluster.answers.get(ticket)));
    cluster.faults.cutFromStore.remove(former);
    cluster.run(1000);
    assertEquals(
        new CallAnswer.Undecided(UndecidedCause.OWNERSHIP_LOST), cluster.answers.get(ticket));
  }

  /**
   * Guards against an unknown outcome of a cancel that had no effect: it waited for the outcome of
   * its job's submission and was never sent to the store.
   */
  @Test
  void aCancelThatWasNeverSentToTheStoreIsRefusedWhenTheOwnerIsReplaced() {
    cluster.awaitOwner();
    VmId former = cluster.owner().orElseThrow().id;
    cluster.faults.cutFromStore.add(former);
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 60_000)));
    BatchCall cancel = new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job);
    long ticket = cluster.call(cancel).orElseThrow();
    cluster.runUntil("another owner", 10_000, () -> cluster.ownershipsWon() > 1);
    cluster.faults.cutFromStore.remove(former);
    cluster.run(1000);
    CallAnswer.Refused refused =
        assertInstanceOf(CallAnswer.Refused.class, cluster.answers.get(ticket));
    assertEquals(RefusalCause.NOT_OWNER, refused.cause());
  }
}
