package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Random histories of an advice service that is slow, forbids executors, refuses calls and loses
 * answers, beside up to 50 urgent steps that no executor suits and owners that are killed. Guards
 * against accepted jobs that never start since the service is asked about others.
 */
class AdviceHistoriesTest {

  private static final int HISTORIES = 60;
  private static final int EXECUTORS = 8;
  private static final long SUBMISSION_MILLIS = 12_000;
  private static final long MAX_RUN_MILLIS = 1500;

  /** Time that a new owner needs to decide and to use what is idle. */
  private static final long TAKEOVER_MILLIS = 7000;

  @Test
  void everyJobThatFitsIsCompleted() {
    Histories.playAll(HISTORIES, this::play);
  }

  private void play(long seed, List<String> faults) {
    BatchCluster cluster = new BatchCluster(3, EXECUTORS, seed);
    FakeAdvice advice = cluster.work.advice;
    FakeAdvice.Timing timing =
        new FakeAdvice.Timing(
            20 + cluster.random.nextInt(700),
            cluster.random.nextInt(40),
            2000 + cluster.random.nextInt(2000));
    advice.setTiming(timing);
    advice.allowOnly(someExecutors(cluster));
    advice.setFailures(
        cluster.random,
        cluster.random.nextInt(3) == 0 ? 0.2 : 0,
        cluster.random.nextInt(3) == 0 ? 0.2 : 0);
    faults.add("advice " + timing);
    cluster.awaitOwner();
    int hopeless = cluster.random.nextInt(51);
    faults.add(hopeless + " steps that no executor suits");
    for (int i = 0; i < hopeless; i++) {
      long at = cluster.random.nextInt((int) SUBMISSION_MILLIS);
      cluster.in(
          at,
          () ->
              submit(
                  cluster,
                  TestFixtures.ADVISED_URGENT,
                  Jobs.labelled(Jobs.tasks(1, 1, 1000), "missing")));
    }
    List<String> jobs = new ArrayList<>();
    for (long at = 1000; at < SUBMISSION_MILLIS; at += 1000 + cluster.random.nextInt(3000)) {
      cluster.in(at, () -> submitFitting(cluster).ifPresent(jobs::add));
    }
    int kills = cluster.random.nextInt(3);
    for (int i = 0; i < kills; i++) {
      long at = 2000L + cluster.random.nextInt(9000);
      cluster.in(at, () -> cluster.owner().ifPresent(owner -> cluster.restart(owner.id, 1000)));
      faults.add("owner killed at " + at);
    }
    cluster.run(SUBMISSION_MILLIS + TAKEOVER_MILLIS);
    advice.setFailures(cluster.random, 0, 0);
    // Each job may need two calls, beside as many about others.
    long callMillis = timing.decisionMillis() + timing.periodMillis() * EXECUTORS;
    cluster.run(FakeAdvice.CALLER_LIMIT_MILLIS + (MAX_RUN_MILLIS + 4 * callMillis) * jobs.size());
    for (String job : jobs) {
      if (cluster.submissions.get(job) instanceof CallAnswer.Accepted) {
        assertEquals(
            Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED)), cluster.status(job), job);
      }
    }
  }

  private static Set<ExecutorId> someExecutors(BatchCluster cluster) {
    Set<ExecutorId> allowed = new HashSet<>(cluster.executors.keySet());
    int forbidden = cluster.random.nextInt(EXECUTORS - 2);
    for (int i = 0; i < forbidden; i++) {
      allowed.remove(new ExecutorId("e" + i));
    }
    return allowed;
  }

  private static Optional<String> submitFitting(BatchCluster cluster) {
    int tasks = 1 + cluster.random.nextInt(3);
    long millis = 200L + cluster.random.nextInt((int) MAX_RUN_MILLIS - 200);
    BatchStep step =
        cluster.random.nextInt(3) == 0 ? Jobs.gang(tasks, 1, millis) : Jobs.tasks(tasks, 1, millis);
    return submit(cluster, TestFixtures.ADVISED, step);
  }

  private static Optional<String> submit(BatchCluster cluster, String queue, BatchStep step) {
    return cluster.owner().isEmpty()
        ? Optional.empty()
        : Optional.of(cluster.submit(queue, Jobs.of(step)));
  }
}
