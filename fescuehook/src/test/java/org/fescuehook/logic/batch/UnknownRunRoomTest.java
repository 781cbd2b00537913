package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * What is being stopped still takes room. A new owner does not load jobs that have ended, so it
 * knows of their last runs only by the reports of executors; it placed work into the room of these.
 */
class UnknownRunRoomTest {

  @Test
  void aRunThatANewOwnerDoesNotKnowKeepsItsRoomUntilItHasEnded() {
    BatchCluster cluster = new BatchCluster(2, 1, 1);
    cluster.awaitOwner();
    cluster.run(500);
    FakeExecutor executor = cluster.executors.get(new ExecutorId("e0"));
    executor.startAnything();
    cluster.work.stopsTake(4000);
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
    assertTrue(executor.running().size() == 1, "the first run has ended before the test begins");
    cluster.runUntil("the next start", 10_000, () -> cluster.work.starts().size() == 2);
  }
}
