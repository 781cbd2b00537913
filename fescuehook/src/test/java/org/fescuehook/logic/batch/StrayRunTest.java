package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * An executor runs a task of a cancelled job because the start arrived late, or because the VM that
 * sent it and had to stop it is gone. The users' bound counts from 3 s after such a start.
 */
class StrayRunTest {

  private static final long GONE_WITHIN_MILLIS = 3200;
  private static final long LONGEST_LEASE_MILLIS = 6000;

  private static BatchCluster cluster() {
    BatchCluster cluster = new BatchCluster(3, 2, 5);
    cluster.awaitOwner();
    cluster.run(200);
    return cluster;
  }

  private static boolean anythingRuns(BatchCluster cluster) {
    return cluster.executors.values().stream().anyMatch(one -> !one.running().isEmpty());
  }

  private static void cancel(BatchCluster cluster, String job) {
    cluster.call(new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job));
    CallAnswer cancelled = new CallAnswer.Phase(JobPhase.CANCELLED);
    cluster.runUntil(
        "its end in the store",
        1000,
        () -> cluster.status(job).filter(cancelled::equals).isPresent());
  }

  @Test
  void aStartThatArrivesAfterTheCancelIsStoppedByTheNextOwner() {
    BatchCluster cluster = cluster();
    cluster.faults.lateOrderRate = 1;
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 8, 60_000)));
    cluster.run(100);
    cluster.faults.lateOrderRate = 0;
    cancel(cluster, job);
    VmId former = cluster.owner().orElseThrow().id;
    cluster.vms.get(former).running = false;
    cluster.awaitOwner();
    cluster.run(9000);
    assertFalse(anythingRuns(cluster));
  }

  /**
   * The stop that the next owner sends is lost too; it polls the executor until the run has ended.
   */
  @Test
  void aRunWhoseVmWasRemovedRightAfterTheCancelIsStoppedThoughAStopIsLost() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 8, 60_000)));
    cluster.runUntil("the start", 1000, () -> anythingRuns(cluster));
    cluster.faults.lostStops = true;
    cancel(cluster, job);
    VmId former = cluster.owner().orElseThrow().id;
    cluster.vms.get(former).running = false;
    cluster.runUntil("the next owner's first stop", 9000, () -> cluster.faults.lostStopCount > 1);
    assertTrue(anythingRuns(cluster));
    cluster.faults.lostStops = false;
    cluster.runUntil("the end of the run", 1500, () -> !anythingRuns(cluster));
  }

  /** No stop ever arrives: the run ends with the last lease that its own owner gave. */
  @Test
  void theLeaseOfARunThatItsOwnerDoesNotKnowIsNotExtended() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 8, 60_000)));
    cluster.runUntil("the start", 1000, () -> anythingRuns(cluster));
    cluster.faults.lostStops = true;
    cancel(cluster, job);
    VmId former = cluster.owner().orElseThrow().id;
    cluster.vms.get(former).running = false;
    cluster.run(LONGEST_LEASE_MILLIS);
    assertTrue(cluster.faults.lostStopCount > 1, "the next owner sent no stop for the run");
    cluster.run(200);
    assertFalse(anythingRuns(cluster));
  }

  @Test
  void aCancelledRunIsStoppedAlsoIfItsFirstStopsAreLost() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 8, 60_000)));
    cluster.runUntil("the start", 1000, () -> anythingRuns(cluster));
    cluster.faults.lostStops = true;
    cancel(cluster, job);
    cluster.run(GONE_WITHIN_MILLIS);
    assertTrue(anythingRuns(cluster));
    cluster.faults.lostStops = false;
    cluster.run(GONE_WITHIN_MILLIS);
    assertFalse(anythingRuns(cluster));
  }

  @Test
  void anExecutorOfAPoolThatNoQueueNamesIsNotContacted() {
    BatchCluster cluster = new BatchCluster(1, 0, 5);
    cluster.awaitOwner();
    cluster.addExecutor(TestFixtures.ofPool("e9", "r1", "another"));
    cluster.addExecutor(TestFixtures.executor("e8", "r1"));
    cluster.run(1000);
    assertEquals(0, cluster.orders.sent.getOrDefault(new ExecutorId("e9"), 0));
    assertTrue(cluster.orders.sent.getOrDefault(new ExecutorId("e8"), 0) > 0);
  }

  /** An entry that has become unreadable counts as not listed; see the tests of the adapter. */
  @Test
  void anExecutorThatIsNoLongerListedKeepsItsRunsAndGetsNoNewOnes() {
    BatchCluster cluster = new BatchCluster(1, 1, 5);
    cluster.awaitOwner();
    cluster.run(200);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 9000)));
    cluster.runUntil("the start", 1000, () -> anythingRuns(cluster));
    ExecutorId id = new ExecutorId("e0");
    cluster.owner().orElseThrow().deliver(new BatchEvent.ExecutorUnlisted(id));
    String second = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.run(7500);
    assertEquals(1, cluster.executors.get(id).running().size());
    assertEquals(1, cluster.work.starts().size(), () -> "started: " + cluster.work.starts());
    cluster
        .owner()
        .orElseThrow()
        .deliver(new BatchEvent.ExecutorSeen(TestFixtures.executor("e0", "r0")));
    cluster.runUntil("the second job", 3000, () -> cluster.work.starts().size() == 2);
    assertEquals(second, cluster.work.starts().getLast().task().job());
  }
}
