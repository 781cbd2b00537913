package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Executors are lost soon after a takeover. A previous owner may have extended leases while it was
 * cut off, but not on executors that have seen the next owner's epoch. Guards against gangs that
 * wait 16 s for such leases, and as long again after each further takeover.
 */
class LostExecutorTest {

  private static final long LEASE_MILLIS = 6000;

  @Test
  void tasksOfAnExecutorLostAfterATakeoverRestartAfterOneLease() {
    BatchCluster cluster = new BatchCluster(3, 4, 1);
    cluster.awaitOwner();
    cluster.run(200);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(2, 8, 30_000)));
    cluster.runUntil("the start", 2000, () -> cluster.work.starts().size() == 2);
    cluster.vms.get(cluster.owner().orElseThrow().id).running = false;
    cluster.awaitOwner();
    cluster.run(500);
    List<ExecutorId> used =
        cluster.executors.values().stream()
            .filter(executor -> !executor.running().isEmpty())
            .map(executor -> executor.profile().id())
            .toList();
    cluster.crash(used.getFirst());
    long crashedAt = cluster.nowMillis();
    cluster.runUntil("the next start", 20_000, () -> cluster.work.starts().size() == 4);
    long waited = cluster.nowMillis() - crashedAt;
    assertTrue(waited < LEASE_MILLIS + 1500, () -> "waited " + waited + " ms");
  }

  /** The executor leaves in two seconds, and the gang's estimate is an eighth of its work. */
  @Test
  void workWhoseProgressShowsThatItEndsTooLateMovesAwayFromALeavingExecutor() {
    BatchCluster cluster = new BatchCluster(1, 4, 1);
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(2, 8, 1000)));
    cluster.work.setWorkMillis(new TaskName(job, 0, 0, 0), 8000);
    cluster.work.setWorkMillis(new TaskName(job, 0, 0, 1), 8000);
    cluster.runUntil("the start", 2000, () -> cluster.work.starts().size() == 2);
    cluster.run(2000);
    ExecutorId leaving =
        cluster.executors.values().stream()
            .filter(executor -> !executor.running().isEmpty())
            .map(executor -> executor.profile().id())
            .findFirst()
            .orElseThrow();
    cluster.leave(leaving, 2000);
    cluster.run(1000);
    assertEquals(List.of(), cluster.executors.get(leaving).running());
    assertEquals(4, cluster.work.starts().size());
  }

  /**
   * Guards against an idle executor that is never polled or used again after orders to it went
   * unanswered, and whose last ends are never acknowledged.
   */
  @Test
  void anExecutorThatOnceDidNotAnswerIsUsedAgainAndItsEndsAreAcknowledged() {
    BatchCluster cluster = new BatchCluster(1, 1, 1);
    cluster.awaitOwner();
    cluster.run(200);
    ExecutorId id = new ExecutorId("e0");
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    Optional<CallAnswer> done = Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));
    cluster.runUntil("the end of the job", 3000, () -> cluster.status(job).equals(done));
    cluster.faults.silent.add(id);
    cluster.run(1500);
    cluster.faults.silent.clear();
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.runUntil("the next start", 1500, () -> cluster.work.starts().size() == 2);
    cluster.run(3000);
    assertEquals(0, cluster.executors.get(id).unacknowledgedEnds());
  }
}
