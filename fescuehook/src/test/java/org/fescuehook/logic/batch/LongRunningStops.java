package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;

/**
 * Checks that no task of a long-running job of a {@link BatchCluster} is stopped while as many
 * others as it tolerates do not run.
 */
final class LongRunningStops {

  /** The time of notice in {@link TestFixtures}. */
  private static final long NOTICE_MILLIS = 5500;

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
    // A stop of a run that is not there, as its start had no answer, ends nothing.
    if (!run.task().job().equals(job) || !atWork(run.task())) {
      return;
    }
    long othersAway =
        IntStream.range(0, tasks)
            .mapToObj(index -> new TaskName(job, 0, 0, index))
            .filter(task -> !task.equals(run.task()) && away(task))
            .count();
    assertTrue(othersAway < mayBeAway, () -> run + " is stopped, others away: " + othersAway);
  }

  /** Users count a task that was lost with its executor as away after the time of notice only. */
  private boolean away(TaskName task) {
    long noticedUntil = cluster.nowMillis() - NOTICE_MILLIS;
    boolean noticed = !cluster.work.crashingTasks.crashedAfter(task, noticedUntil);
    return !atWork(task) && noticed;
  }

  private boolean atWork(TaskName task) {
    return cluster.executors.values().stream()
        .flatMap(executor -> executor.running().stream())
        .anyMatch(run -> run.task().equals(task));
  }
}
