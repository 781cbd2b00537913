package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/** Steps of queues that need advice run only where the advice service allows them to. */
class AdvisedWorkTest {

  private static final ExecutorId ALLOWED = new ExecutorId("e3");

  private final BatchCluster cluster = new BatchCluster(3, 8, 1);

  private String submit(int tasks, long millis) {
    return cluster.submit(TestFixtures.ADVISED, Jobs.of(Jobs.tasks(tasks, 1, millis)));
  }

  private void awaitCompleted(String job, long millis) {
    Optional<CallAnswer> wanted = Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));
    cluster.runUntil(job + " completes", millis, () -> cluster.status(job).equals(wanted));
  }

  @Test
  void tasksStartOnlyWhereTheServiceAllowsIt() {
    cluster.work.advice.allowOnly(Set.of(ALLOWED));
    cluster.awaitOwner();
    String job = submit(4, 1000);
    cluster.run(1000);
    assertEquals(4, cluster.executors.get(ALLOWED).running().size());
    awaitCompleted(job, 1500);
  }

  /**
   * Tickets are valid for two seconds, and only some of the tasks fit on the allowed executor at
   * once.
   */
  @Test
  void expiredTicketsAreRequestedAgainButNotForForbiddenExecutors() {
    cluster.work.advice.allowOnly(Set.of(ALLOWED));
    cluster.awaitOwner();
    String job = submit(20, 1800);
    awaitCompleted(job, 9000);
    List<ExecutorId> asked =
        cluster.work.advice.questions().stream()
            .flatMap(question -> question.executors().stream())
            .toList();
    assertTrue(Collections.frequency(asked, ALLOWED) > 1);
    cluster.executors.keySet().stream()
        .filter(executor -> !executor.equals(ALLOWED))
        .forEach(executor -> assertEquals(1, Collections.frequency(asked, executor)));
  }

  @Test
  void workWaitsWhileTheServiceIsUnavailableAndStartsAfterwards() {
    cluster.work.advice.allowOnly(Set.of(ALLOWED));
    cluster.work.advice.setUnavailable(true);
    cluster.awaitOwner();
    String job = submit(2, 500);
    cluster.run(3000);
    assertTrue(cluster.work.starts().isEmpty());
    cluster.work.advice.setUnavailable(false);
    awaitCompleted(job, 2000);
  }

  /**
   * Urgent jobs that no executor suited kept the advice service busy, so that a job for idle
   * executors was never started.
   */
  @Test
  void jobForIdleExecutorsStartsWhileUrgentJobsWaitForMissingExecutors() {
    cluster.work.advice.allowOnly(cluster.executors.keySet());
    cluster.work.advice.setTiming(new FakeAdvice.Timing(500, 20, 3000));
    cluster.awaitOwner();
    for (int i = 0; i < 6; i++) {
      cluster.submit(
          TestFixtures.ADVISED_URGENT, Jobs.of(Jobs.labelled(Jobs.tasks(1, 1, 1000), "missing")));
    }
    cluster.run(2000);
    String job = submit(2, 1000);
    awaitCompleted(job, 3000);
  }
}
