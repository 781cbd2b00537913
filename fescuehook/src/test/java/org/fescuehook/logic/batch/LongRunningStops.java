package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.model.batch.TaskRun;

/**
 * Checks that no task of a long-running job of a {@link BatchCluster} is stopped while as many
 * others as it tolerates do not run.
 */
final class LongRunningStops {

  private final BatchCluster cluster;
  private String job = "";
  private int tasks;
  private int mayBeAway;

  LongRunningStops(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /** Begins to check the stops of a job. */
  void judge(String judgedJob, int taskCount, int tolerated) {
    job = judgedJob;
    tasks = taskCount;
    mayBeAway = tolerated;
  }

  /** Checks an order to stop a run at the time at which it is sent. */
  void check(TaskRun run) {
    if (!run.task().job().equals(job)) {
      return;
    }
    long others =
        cluster.executors.values().stream()
            .flatMap(executor -> executor.running().stream())
            .filter(other -> other.task().job().equals(job) && !other.equals(run))
            .count();
    long othersAway = tasks - 1 - others;
    assertTrue(othersAway < mayBeAway, () -> run + " is stopped, others away: " + othersAway);
  }
}
