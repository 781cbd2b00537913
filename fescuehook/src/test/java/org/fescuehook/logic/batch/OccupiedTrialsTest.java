package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.batch.call.BatchCall;
import org.junit.jupiter.api.Test;

/**
 * Guards against a job with attempts left that has nothing running for over 3 s in an idle fleet,
 * since on each executor, doubted after a fault, a long run of another job is the only one that may
 * be tried.
 */
class OccupiedTrialsTest {

  private static final int EXECUTORS = 8;
  private static final long FAULT_MILLIS = 6000;

  /** Longer than the longest backoff of an executor. */
  private static final long REST_MILLIS = 8500;

  private static final long MAX_IDLE_MILLIS = 3000;

  private final BatchCluster cluster =
      new BatchCluster(1, EXECUTORS, 1, TestFixtures.configuration(), TestFixtures.AS_DEPLOYED);

  private long running(String job) {
    return cluster.executors.values().stream()
        .flatMap(executor -> executor.running().stream())
        .filter(run -> run.task().job().equals(job))
        .count();
  }

  /** Fails all runs on all executors until all of them are doubted. */
  private void failEverything() {
    cluster.executors.keySet().forEach(cluster.work::failAllOn);
    List<String> jobs = new ArrayList<>();
    for (long time = 0; time < FAULT_MILLIS; time += 100) {
      jobs.add(cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(1, 1, 1000))));
      cluster.run(100);
    }
    for (String job : jobs) {
      cluster.call(new BatchCall.Cancel(BatchCluster.BULK, BatchCluster.KEY, job));
    }
    cluster.executors.keySet().forEach(cluster.work::restore);
    cluster.run(REST_MILLIS);
  }

  @Test
  void aJobStartsBesideTheLongRunsThatAreBeingTried() {
    cluster.awaitOwner();
    cluster.run(500);
    failEverything();
    for (int i = 0; i < EXECUTORS; i++) {
      cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.checkpointed(1, 1, 60_000)));
    }
    cluster.run(1000);
    assertEquals(
        EXECUTORS,
        cluster.executors.values().stream()
            .filter(executor -> executor.running().size() == 1)
            .count());
    String job = cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(4, 1, 2000)));
    cluster.runUntil("a run of the job", MAX_IDLE_MILLIS, () -> running(job) > 0);
  }
}
