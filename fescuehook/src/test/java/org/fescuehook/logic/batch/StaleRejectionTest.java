package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Seen: an owner that has just taken over gives up again, and for two seconds no VM decides. It had
 * owned before; an order of that epoch, which had waited for a connection, went out late and was
 * turned away for its epoch. Cause: a rejection for the epoch counts whichever epoch the order was
 * of.
 */
class StaleRejectionTest {

  @Test
  void anOrderOfAFormerEpochThatIsTurnedAwayDoesNotEndThisOne() {
    BatchCluster cluster = new BatchCluster(1, 4, 1);
    cluster.awaitOwner();
    cluster.run(200);
    BatchCluster.Vm owner = cluster.owner().orElseThrow();
    long epoch = owner.core.ownerHint().orElseThrow().epoch();
    long former = EpochNumbers.before(epoch - 1) + 1;
    owner.deliver(
        new BatchEvent.OrderEnded(
            new ExecutorId("e0"), former, new OrderOutcome.Rejected(Rejection.FENCED)));
    assertTrue(owner.core.deciding(), "gave up");
  }
}
