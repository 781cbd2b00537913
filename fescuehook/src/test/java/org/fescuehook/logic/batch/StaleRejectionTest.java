package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that gives up right after its takeover, so that no VM decides for two
 * seconds. It had been the owner before, and an order of that epoch, which had waited for a
 * connection, is rejected for its epoch. Only a rejection of an order of the current epoch means
 * that the owner was replaced.
 */
class StaleRejectionTest {

  @Test
  void aRejectedOrderOfAnEarlierEpochDoesNotEndTheCurrentOne() {
    BatchCluster cluster = new BatchCluster(1, 4, 1);
    cluster.awaitOwner();
    cluster.run(200);
    BatchCluster.Vm owner = cluster.owner().orElseThrow();
    long epoch = owner.core.ownerHint().orElseThrow().epoch();
    long former = EpochNumbers.before(epoch - 1) + 1;
    owner.deliver(
        new BatchEvent.OrderEnded(
            new ExecutorId("e0"), former, new OrderOutcome.Rejected(Rejection.FENCED)));
    assertTrue(owner.core.deciding(), "the owner gave up ownership");
  }
}
