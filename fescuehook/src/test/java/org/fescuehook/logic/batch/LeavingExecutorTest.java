package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a start that is sent to an executor seconds after it announced that it leaves,
 * since the announcement came while the placement was on its way to a slow store.
 */
class LeavingExecutorTest {

  @Test
  void aStartThatWasPlacedBeforeItsExecutorBeganToLeaveIsNotSentAfterwards() {
    BatchCluster cluster = new BatchCluster(1, 1, 1);
    cluster.awaitOwner();
    cluster.run(500);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 4, 1000)));
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 6, 1000)));
    cluster.runUntil("the first start", 500, () -> cluster.work.starts().size() == 1);
    cluster.faults.appendMillis = 3000;
    cluster.runUntil(
        "both placements", 2000, () -> cluster.notes(BatchLogEvent.RUN_PLACED).size() == 2);
    cluster.leave(new ExecutorId("e0"), 20_000);
    cluster.run(6000);
    assertEquals(1, cluster.work.starts().size());
  }

  /** The executor does not answer the first order, which may have been carried out. */
  @Test
  void aStartWithoutAnAnswerIsNotOrderedAgainOnceItsExecutorBeginsToLeave() {
    BatchCluster cluster = new BatchCluster(1, 1, 1);
    cluster.awaitOwner();
    cluster.run(500);
    cluster.faults.silent.add(new ExecutorId("e0"));
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 8, 1000)));
    cluster.runUntil("the order", 500, () -> cluster.orders.starts() == 1);
    cluster.leave(new ExecutorId("e0"), 20_000);
    cluster.run(4000);
    assertEquals(1, cluster.orders.starts());
  }
}
