package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/** A VM with much more CPU takes over from the owner. */
class StrongerVmTakeoverTest {

  private static void awaitCompleted(BatchCluster cluster, String job) {
    Optional<CallAnswer> wanted = Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));
    cluster.runUntil(job + " is completed", 6000, () -> cluster.status(job).equals(wanted));
  }

  /** The stronger VM starts while a weaker one decides and calls and runs are in progress. */
  @Test
  void aStrongerVmTakesOverFromAWeakerOneAndNothingIsLost() {
    BatchCluster cluster = new BatchCluster(0, 4, 1);
    cluster.start(new VmId("weak-1"));
    cluster.start(new VmId("weak-2"));
    cluster.awaitOwner();
    String running = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(4, 2, 4000)));
    cluster.run(1000);
    cluster.start(new VmId("vm-1"));
    cluster.runUntil(
        "the strong owner",
        1500,
        () -> cluster.owner().filter(vm -> vm.id.equals(new VmId("vm-1"))).isPresent());
    String next = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(4, 2, 500)));
    awaitCompleted(cluster, running);
    awaitCompleted(cluster, next);
    cluster.run(5000);
    assertEquals(new VmId("vm-1"), cluster.owner().orElseThrow().id);
    assertEquals(8, cluster.work.starts().size());
  }
}
