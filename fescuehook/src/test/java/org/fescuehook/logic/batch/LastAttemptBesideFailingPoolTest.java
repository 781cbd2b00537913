package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a last attempt that waits in an idle pool without any failure of its executors,
 * since executors of another pool fail everything: a wave of failures counts for all pools.
 */
class LastAttemptBesideFailingPoolTest {

  private static final String OTHER_POOL = "other";
  private static final int EXECUTORS = 8;
  private static final long MAX_IDLE_MILLIS = 3000;

  private final BatchCluster cluster =
      new BatchCluster(1, 0, 1, configuration(), TestFixtures.AS_DEPLOYED);

  private static BatchConfiguration configuration() {
    BatchConfiguration usual = TestFixtures.configuration();
    Map<String, JobQueue> queues = new HashMap<>(usual.queues());
    queues.put(
        BatchCluster.BULK,
        new JobQueue(BatchCluster.BULK, OTHER_POOL, 2, 2, 3, 3000, false, false));
    return new BatchConfiguration(1, queues, usual.organisations());
  }

  private long running(String job) {
    return cluster.executors.values().stream()
        .flatMap(executor -> executor.running().stream())
        .filter(run -> run.task().job().equals(job))
        .count();
  }

  private void submitSmallTask(long millis, long endMillis) {
    if (cluster.nowMillis() < endMillis) {
      cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 300)));
      cluster.in(millis, () -> submitSmallTask(millis, endMillis));
    }
  }

  @Test
  void startsInThePoolThatIsSound() {
    for (int i = 0; i < EXECUTORS; i++) {
      cluster.addExecutor(TestFixtures.ofPool("a" + i, "r1", TestFixtures.POOL));
      cluster.addExecutor(TestFixtures.ofPool("b" + i, "r2", OTHER_POOL));
    }
    cluster.awaitOwner();
    cluster.run(7000);
    for (int i = 0; i < EXECUTORS; i++) {
      cluster.work.failAllOn(new ExecutorId("a" + i));
    }
    cluster.in(1, () -> submitSmallTask(50, 60_000));
    cluster.run(2000);
    String job = cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(1, 8, 500)));
    cluster.work.failRuns(run -> run.task().job().equals(job) && run.number() == 1);
    cluster.runUntil("the first run", 3000, () -> running(job) > 0);
    cluster.runUntil("its failure", 2000, () -> running(job) == 0);
    long failed = cluster.nowMillis();
    cluster.runUntil("the last attempt", 40_000, () -> running(job) > 0);
    long idle = cluster.nowMillis() - failed;
    assertTrue(idle <= MAX_IDLE_MILLIS, () -> "idle for " + idle + " ms");
  }
}
