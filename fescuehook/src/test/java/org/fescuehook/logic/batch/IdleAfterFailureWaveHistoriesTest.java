package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Histories in which a part of the executors fails everything for some seconds, and nothing is
 * handed in or disturbed afterwards. Guards against jobs with one attempt left, gangs of up to half
 * of the fleet among them, that wait for reliable executors in an idle fleet where no further run
 * can show which executors are reliable.
 */
class IdleAfterFailureWaveHistoriesTest {

  private static final int HISTORIES = 15;
  private static final int RACK_SIZE = 6;
  private static final int SMALL_FLEET = 24;
  private static final int LARGE_FLEET = 48;
  private static final long BEGIN_MILLIS = 10_000;
  private static final int SHORTEST_WAVE_MILLIS = 2000;
  private static final int LONGEST_WAVE_MILLIS = 6500;

  /** Users judge idle jobs by the seconds that follow on 4 s without any disturbance. */
  private static final long CALM_MILLIS = 4000;

  private static final long JUDGED_MILLIS = 30_000;

  @Test
  void noJobIsIdleAfterAWave() {
    Histories.playAll(
        HISTORIES, (seed, faults) -> assertEquals(List.of(), breaches(seed, SMALL_FLEET, false)));
  }

  @Test
  void noJobIsIdleAfterAWaveInALargeFleet() {
    Histories.playAll(
        HISTORIES, (seed, faults) -> assertEquals(List.of(), breaches(seed, LARGE_FLEET, false)));
  }

  /** The next owner knows how often each job has failed, but not on which executors and when. */
  @Test
  void noJobIsIdleIfTheOwnerRestartsAtTheEndOfAWave() {
    Histories.playAll(
        HISTORIES, (seed, faults) -> assertEquals(List.of(), breaches(seed, SMALL_FLEET, true)));
  }

  private static List<String> breaches(long seed, int executors, boolean ownerRestarts) {
    BatchCluster cluster = new BatchCluster(2, 0, seed, configuration(), TestFixtures.AS_DEPLOYED);
    for (int i = 0; i < executors; i++) {
      cluster.addExecutor("e" + i, "r" + i / RACK_SIZE);
    }
    IdleJobChecks checks = new IdleJobChecks(cluster);
    int length =
        SHORTEST_WAVE_MILLIS
            + cluster.random.nextInt(LONGEST_WAVE_MILLIS - SHORTEST_WAVE_MILLIS + 1);
    long end = BEGIN_MILLIS + length;
    submitSmallTasks(cluster, checks, executors, end);
    submitGangs(cluster, checks, executors, end);
    List<ExecutorId> faulty = faulty(cluster);
    cluster.in(BEGIN_MILLIS, () -> faulty.forEach(cluster.work::failAllOn));
    cluster.in(end, () -> faulty.forEach(cluster.work::restore));
    if (ownerRestarts) {
      cluster.in(end, () -> cluster.owner().ifPresent(owner -> cluster.restart(owner.id, 500)));
    }
    cluster.in(end + CALM_MILLIS, () -> checks.checkUntil(end + JUDGED_MILLIS));
    cluster.run(end + JUDGED_MILLIS);
    return checks.breaches();
  }

  /** Returns half to three quarters of the executors. */
  private static List<ExecutorId> faulty(BatchCluster cluster) {
    List<ExecutorId> ids = new ArrayList<>(cluster.executors.keySet());
    Collections.shuffle(ids, cluster.random);
    double share = 0.5 + 0.25 * cluster.random.nextDouble();
    return ids.subList(0, (int) (ids.size() * share));
  }

  /** Hands in single tasks until the end of the wave, which show which executors are faulty. */
  private static void submitSmallTasks(
      BatchCluster cluster, IdleJobChecks checks, int executors, long end) {
    double meanMillis = 3000.0 / executors;
    double at = 3000;
    while (at < end) {
      long millis = 300L + cluster.random.nextInt(900);
      Submission submission = Jobs.of(Jobs.tasks(1 + cluster.random.nextInt(3), 1, millis));
      cluster.in((long) at, () -> submit(cluster, checks, BatchCluster.BULK, submission));
      at += -Math.log(1 - cluster.random.nextDouble()) * meanMillis;
    }
  }

  /** Hands in gangs in the wave, of which half fail once for reasons of their own. */
  private static void submitGangs(
      BatchCluster cluster, IdleJobChecks checks, int executors, long end) {
    Set<Integer> failingWidths = new HashSet<>();
    int gangs = 1 + cluster.random.nextInt(3);
    for (int i = 0; i < gangs; i++) {
      int width = executors / 4 + cluster.random.nextInt(executors / 4 + 1);
      if (cluster.random.nextBoolean()) {
        failingWidths.add(width);
      }
      long at = BEGIN_MILLIS + cluster.random.nextInt((int) (end - BEGIN_MILLIS));
      String queue = cluster.random.nextBoolean() ? BatchCluster.URGENT : BatchCluster.NORMAL;
      Submission submission = Jobs.of(Jobs.gang(width, 8, 2000));
      cluster.in(at, () -> submit(cluster, checks, queue, submission));
    }
    cluster.work.failRuns(
        run -> run.number() == 1 && failingWidths.contains(width(checks, run.task())));
  }

  private static int width(IdleJobChecks checks, TaskName task) {
    BatchStep step = checks.submission(task.job()).steps().get(task.step());
    return step.gang() ? step.count() : 0;
  }

  private static void submit(
      BatchCluster cluster, IdleJobChecks checks, String queue, Submission submission) {
    if (cluster.owner().isPresent()) {
      checks.submit(queue, submission);
    }
  }

  private static BatchConfiguration configuration() {
    Map<String, JobQueue> queues = new HashMap<>();
    queues.put(BatchCluster.URGENT, queue(BatchCluster.URGENT, 0, 2, 1.63, 250));
    queues.put(BatchCluster.NORMAL, queue(BatchCluster.NORMAL, 1, 2, 3, 1000));
    queues.put(BatchCluster.BULK, queue(BatchCluster.BULK, 2, 4, 3, 3000));
    return new BatchConfiguration(1, queues, TestFixtures.configuration().organisations());
  }

  private static JobQueue queue(
      String name, int priority, int attempts, double factor, long latencyMillis) {
    return new JobQueue(
        name, TestFixtures.POOL, priority, attempts, factor, latencyMillis, false, false);
  }
}
