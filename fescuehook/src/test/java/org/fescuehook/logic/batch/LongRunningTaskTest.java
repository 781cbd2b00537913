package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/** Tasks that run until their job is cancelled. */
class LongRunningTaskTest {

  private final BatchCluster cluster = new BatchCluster(3, 8, 1);

  private String submitted(String queue, BatchStep step) {
    cluster.awaitOwner();
    cluster.run(300);
    String job = cluster.submit(queue, Jobs.of(step));
    cluster.run(1000);
    return job;
  }

  private long running(String job) {
    return cluster.executors.values().stream()
        .flatMap(executor -> executor.running().stream())
        .filter(run -> run.task().job().equals(job))
        .count();
  }

  @Test
  void tasksRunUntilTheirJobIsCancelled() {
    String job = submitted(BatchCluster.NORMAL, Jobs.longRunning(4, 1, 1, 0));
    cluster.run(30_000);
    assertEquals(4, running(job));
    assertEquals(Optional.of(new CallAnswer.Phase(JobPhase.IN_PROGRESS)), cluster.status(job));

    cluster.call(new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job));
    cluster.run(1000);
    assertEquals(0, running(job));
    assertEquals(Optional.of(new CallAnswer.Phase(JobPhase.CANCELLED)), cluster.status(job));
  }

  @Test
  void aTaskStartsAgainHoweverOftenItFails() {
    String job = submitted(BatchCluster.NORMAL, Jobs.longRunning(1, 1, 1, 0));
    List<ExecutorId> executors = List.copyOf(cluster.executors.keySet());
    executors.forEach(cluster.work::failAllOn);
    cluster.run(8000);
    assertTrue(cluster.work.failures(new TaskName(job, 0, 0, 0)) > 3);

    executors.forEach(cluster.work::restore);
    cluster.run(18_000);
    assertEquals(1, running(job));
  }

  @Test
  void tasksContinueUnderTheNextOwner() {
    String job = submitted(BatchCluster.NORMAL, Jobs.longRunning(3, 1, 0, 0));
    int starts = cluster.work.starts().size();
    cluster.restart(cluster.owner().orElseThrow().id, 3000);
    cluster.run(8000);
    assertEquals(3, running(job));
    assertEquals(starts, cluster.work.starts().size());
  }

  /** Urgent work needs the whole fleet, most of which long-running tasks occupy. */
  @Test
  void preemptionLeavesAllButTheAllowedTasksRunning() {
    String job = submitted(BatchCluster.BULK, Jobs.longRunning(5, 8, 1, 0));
    assertEquals(5, running(job));
    for (int i = 0; i < 5; i++) {
      cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 8, 60_000)));
    }
    for (int i = 0; i < 40; i++) {
      cluster.run(100);
      assertTrue(running(job) >= 4, "at " + cluster.nowMillis());
    }
    assertEquals(4, running(job));
  }

  @Test
  void tasksThatServeUsersAndOtherWorkUseSeparateExecutorsWhileCapacityAllows() {
    String serving = submitted(BatchCluster.NORMAL, Jobs.longRunning(2, 1, 1, 90));
    cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(20, 1, 3000)));
    cluster.run(1000);
    cluster
        .executors
        .values()
        .forEach(
            executor -> {
              long served =
                  executor.running().stream()
                      .filter(run -> run.task().job().equals(serving))
                      .count();
              assertTrue(served == 0 || served == executor.running().size());
            });
  }

  /** The fleet is full, so other work has to run beside tasks that serve users. */
  @Test
  void workBesideATaskThatServesUsersIsThrottledWhenItsResponsesSlowDown() {
    cluster.awaitOwner();
    cluster.run(300);
    List.copyOf(cluster.executors.keySet()).stream().skip(1).forEach(cluster::crash);
    cluster.run(6000);
    submitted(BatchCluster.NORMAL, Jobs.longRunning(1, 1, 1, 90));
    String bulk = cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(7, 1, 4000)));
    cluster.run(3000);
    assertEquals(0, running(bulk), "it first waits for an executor without tasks that serve users");
    cluster.run(3000);
    assertEquals(7, running(bulk));
    cluster.run(4000);
    assertEquals(7, running(bulk), "it would be done by now if it were not throttled");
  }
}
