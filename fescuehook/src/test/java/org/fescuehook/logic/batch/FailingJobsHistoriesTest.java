package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/**
 * Calm histories in which some runs fail and some jobs always fail. Guards against jobs that have
 * nothing running for seconds in a half idle fleet: before its last attempt, a job waited for an
 * executor to be proven by the end of another run, and executors that rest after failures counted
 * as in use.
 */
class FailingJobsHistoriesTest {

  private static final int HISTORIES = 40;
  private static final long DAY_MILLIS = 60_000;
  private static final int MAX_ATTEMPTS = 4;
  private static final double FAILING_RUNS = 0.05;
  private static final double FAILING_JOBS = 0.08;
  private static final int LABELS = 2;
  private static final int[] ACCELERATORS = {1, 2, 4, 8, 8};

  @Test
  void noJobIsIdleBesideJobsThatFail() {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, 16, TestFixtures.AS_DEPLOYED));
  }

  @Test
  void noJobIsIdleBesideJobsThatFailOnFewExecutors() {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, 8, TestFixtures.AS_DEPLOYED));
  }

  @Test
  void noJobIsIdleBesideJobsThatFailIfNothingIsLearned() {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, 8, SchedulingPreferences.ALL_OFF));
  }

  /** Few executors suit such a step, so that those it avoids after failures are soon all. */
  @Test
  void noJobIsIdleWhoseStepNeedsALabel() {
    Histories.playAll(
        HISTORIES, (seed, faults) -> play(seed, 16, TestFixtures.AS_DEPLOYED, 2.0 / 3));
  }

  private static void play(long seed, int executors, SchedulingPreferences scheduling) {
    play(seed, executors, scheduling, 0);
  }

  private static void play(
      long seed, int executors, SchedulingPreferences scheduling, double labelled) {
    BatchCluster cluster =
        new BatchCluster(2, executors, seed, configuration(), TestFixtures.preferences(scheduling));
    IdleJobChecks checks = new IdleJobChecks(cluster);
    cluster.work.failRuns(
        run -> new SplittableRandom(run.hashCode() * 31L + seed).nextDouble() < FAILING_RUNS);
    int jobs = 10 + cluster.random.nextInt(40);
    for (int i = 0; i < jobs; i++) {
      long at = 1500L + cluster.random.nextInt(50_000);
      cluster.in(at, () -> submit(cluster, checks, labelled));
    }
    cluster.in(3000, () -> checks.checkUntil(DAY_MILLIS));
    cluster.run(DAY_MILLIS);
    assertEquals(List.of(), checks.breaches());
  }

  private static BatchConfiguration configuration() {
    Map<String, JobQueue> queues = new HashMap<>();
    queues.put(BatchCluster.URGENT, queue(BatchCluster.URGENT, 0, 1.63, 250));
    queues.put(BatchCluster.NORMAL, queue(BatchCluster.NORMAL, 1, 3, 1000));
    queues.put(BatchCluster.BULK, queue(BatchCluster.BULK, 2, 3, 3000));
    return new BatchConfiguration(1, queues, TestFixtures.configuration().organisations());
  }

  private static JobQueue queue(String name, int priority, double factor, long latencyMillis) {
    return new JobQueue(
        name, TestFixtures.POOL, priority, MAX_ATTEMPTS, factor, latencyMillis, false, false);
  }

  private static void submit(BatchCluster cluster, IdleJobChecks checks, double labelled) {
    long millis = 1000L + cluster.random.nextInt(10_000);
    int accelerators = ACCELERATORS[cluster.random.nextInt(ACCELERATORS.length)];
    int width = 1 + cluster.random.nextInt(6);
    BatchStep plain =
        cluster.random.nextBoolean()
            ? Jobs.gang(width, accelerators, millis)
            : Jobs.tasks(width, accelerators, millis);
    boolean needsLabel = labelled > 0 && cluster.random.nextDouble() < labelled;
    BatchStep step =
        needsLabel ? Jobs.labelled(plain, "r" + cluster.random.nextInt(LABELS)) : plain;
    String[] queues = {BatchCluster.URGENT, BatchCluster.NORMAL, BatchCluster.BULK};
    String job = checks.submit(queues[cluster.random.nextInt(queues.length)], Jobs.of(step));
    if (cluster.random.nextDouble() < FAILING_JOBS) {
      for (int index = 0; index < width; index++) {
        cluster.work.failAlways(new TaskName(job, 0, 0, index));
      }
    }
  }
}
