package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against tasks that run again although their ends were acknowledged. Their executor was
 * missing from the list for a moment while the append of the ends was pending. The owner forgot the
 * executor, then treated it as a new one, took its ends for those of tasks that were already done,
 * and acknowledged them before they were stored. The next owner found neither the runs nor their
 * ends.
 */
class UnlistedExecutorTest {

  private static final ExecutorId EXECUTOR = new ExecutorId("e0");

  private final BatchCluster cluster = new BatchCluster(3, 1, 1);

  @BeforeEach
  void endsAreReadAndNotStored() {
    cluster.awaitOwner();
    cluster.run(200);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(3, 1, 500)));
    cluster.runUntil("the starts", 2000, () -> cluster.work.starts().size() == 3);
    cluster.run(200);
    cluster.faults.streamsDown.add(StreamName.STATE);
    cluster.runUntil("the ends", 2000, () -> executor().unacknowledgedEnds() == 3);
    cluster.run(500);
  }

  private FakeExecutor executor() {
    return cluster.executors.get(EXECUTOR);
  }

  private void unlistAndList() {
    BatchCluster.Vm owner = cluster.owner().orElseThrow();
    owner.deliver(new BatchEvent.ExecutorUnlisted(EXECUTOR));
    cluster.run(100);
    owner.deliver(new BatchEvent.ExecutorSeen(executor().profile()));
    cluster.run(1000);
  }

  private void replaceOwner() {
    VmId former = cluster.owner().orElseThrow().id;
    cluster.vms.get(former).running = false;
    cluster.faults.streamsDown.clear();
    cluster.awaitOwner();
    cluster.run(5000);
  }

  @Test
  void endsThatAreNotStoredAreNotAcknowledgedAfterTheExecutorWasUnlisted() {
    unlistAndList();
    assertEquals(3, executor().unacknowledgedEnds());
  }

  @Test
  void endedTasksDoNotRunAgainUnderTheNextOwner() {
    unlistAndList();
    replaceOwner();
    assertEquals(3, cluster.work.starts().size());
    assertEquals(0, executor().unacknowledgedEnds());
  }
}
