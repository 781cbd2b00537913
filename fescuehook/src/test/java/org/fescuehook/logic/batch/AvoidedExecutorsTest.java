package org.fescuehook.logic.batch;

import java.util.Map;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.JobQueue;
import org.junit.jupiter.api.Test;

/**
 * Guards against a job with attempts left that has nothing running for over 3 s in an idle fleet,
 * since it goes on avoiding the few executors that suit it after it has failed on each of them.
 */
class AvoidedExecutorsTest {

  private static final String RACK = "small";
  private static final int MAX_ATTEMPTS = 4;
  private static final long MAX_IDLE_MILLIS = 3000;

  private final BatchCluster cluster =
      new BatchCluster(1, 8, 1, configuration(), TestFixtures.AS_DEPLOYED);

  private static BatchConfiguration configuration() {
    JobQueue queue =
        new JobQueue(BatchCluster.BULK, TestFixtures.POOL, 2, MAX_ATTEMPTS, 3, 3000, false, false);
    return new BatchConfiguration(
        1, Map.of(BatchCluster.BULK, queue), TestFixtures.configuration().organisations());
  }

  private boolean running(String job, int number) {
    return cluster.executors.values().stream()
        .flatMap(executor -> executor.running().stream())
        .anyMatch(run -> run.task().job().equals(job) && run.number() == number);
  }

  @Test
  void aTaskStartsOnAnExecutorThatHasFailedItIfNoOtherSuitsIt() {
    cluster.addExecutor("s0", RACK);
    cluster.addExecutor("s1", RACK);
    cluster.awaitOwner();
    cluster.run(7000);
    cluster.work.failRuns(run -> run.number() <= 2);
    String job =
        cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.labelled(Jobs.tasks(1, 1, 300), RACK)));
    cluster.runUntil("the second run", 3000, () -> running(job, 2));
    cluster.runUntil("its end", 2000, () -> !running(job, 2));
    cluster.runUntil("the third run", MAX_IDLE_MILLIS, () -> running(job, 3));
  }
}
