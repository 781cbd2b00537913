package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a new owner that places work in capacity that is still occupied by runs being
 * stopped. It does not load jobs that have ended, so it knows their last runs only from the reports
 * of executors.
 */
class UnknownRunCapacityTest {

  @Test
  void aRunThatANewOwnerDoesNotKnowOccupiesCapacityUntilItHasEnded() {
    BatchCluster cluster = new BatchCluster(2, 1, 1);
    cluster.awaitOwner();
    cluster.run(500);
    FakeExecutor executor = cluster.executors.get(new ExecutorId("e0"));
    executor.skipCapacityCheck();
    cluster.work.setStopMillis(4000);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 6, 60_000)));
    cluster.runUntil("the start", 1000, () -> cluster.work.starts().size() == 1);
    cluster.call(new BatchCall.Cancel(BatchCluster.URGENT, BatchCluster.KEY, job));
    cluster.run(100);
    VmId former = cluster.owner().orElseThrow().id;
    cluster.vms.get(former).running = false;
    cluster.runUntil(
        "the next owner",
        10_000,
        () -> cluster.owner().filter(vm -> !vm.id.equals(former)).isPresent());
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 6, 1000)));
    assertTrue(executor.running().size() == 1, "the first run ended too early for this test");
    cluster.runUntil("the next start", 10_000, () -> cluster.work.starts().size() == 2);
  }
}
