package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against runs that are stopped again and again for a job that starts in none of the places:
 * what was freed for it went to jobs of lower rank, which were stopped for it again.
 */
class PreemptionWithoutStartTest {

  private static final int HISTORIES = 36;
  private static final int MOST_ROUNDS = 3;
  private static final int EXECUTORS = 24;
  private static final int RACK_SIZE = 6;
  private static final int MAX_ATTEMPTS = 2;
  private static final long DAY_MILLIS = 25_000;
  private static final long FINISH_MILLIS = 5_000;
  private static final long STEP_MILLIS = 20;

  /**
   * Waves in which half of the executors fail everything, and a load that fills the fleet: urgent
   * gangs that a guarantee covers, others that it does not, and work of lower priority.
   */
  @Test
  void runsAreStoppedForAJobAFewTimesAtMostUntilItStarts() {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed));
  }

  private static void play(long seed) {
    BatchCluster cluster =
        new BatchCluster(
            2, 0, seed, configuration(), TestFixtures.preferences(TestFixtures.AS_DEPLOYED));
    for (int i = 0; i < EXECUTORS; i++) {
      cluster.addExecutor("e" + i, "r" + i / RACK_SIZE);
    }
    cluster.work.setStopMillis(300);
    PreemptionRounds rounds = new PreemptionRounds(cluster);
    cluster.awaitOwner();
    submitRegularly(cluster, Jobs.gang(4, 4, 2500), 1400, BatchCluster.URGENT, 0);
    submitRegularly(cluster, Jobs.gang(6, 2, 3000), 1200, BatchCluster.URGENT, 1);
    submitRegularly(cluster, Jobs.gang(8, 2, 5000), 2000, BatchCluster.NORMAL, 1);
    submitRegularly(cluster, Jobs.tasks(20, 1, 3000), 1500, BatchCluster.BULK, 1);
    scheduleWaves(cluster);
    while (cluster.nowMillis() < DAY_MILLIS + FINISH_MILLIS) {
      cluster.run(STEP_MILLIS);
      rounds.update();
    }
    assertTrue(rounds.most() <= MOST_ROUNDS, () -> rounds.most() + " rounds of stops for one job");
  }

  private static BatchConfiguration configuration() {
    Map<String, JobQueue> queues = new HashMap<>();
    queues.put(BatchCluster.URGENT, queue(BatchCluster.URGENT, 0, 1.63, 250));
    queues.put(BatchCluster.NORMAL, queue(BatchCluster.NORMAL, 1, 3, 1000));
    queues.put(BatchCluster.BULK, queue(BatchCluster.BULK, 2, 3, 3000));
    List<BatchOrganisation> organisations =
        List.of(
            new BatchOrganisation("org-0", Set.of(TestFixtures.keyOf(0)), 96),
            new BatchOrganisation("org-1", Set.of(TestFixtures.keyOf(1)), 0));
    return new BatchConfiguration(1, queues, organisations);
  }

  private static JobQueue queue(String name, int priority, double factor, long latencyMillis) {
    return new JobQueue(
        name, TestFixtures.POOL, priority, MAX_ATTEMPTS, factor, latencyMillis, false, false);
  }

  private static void submitRegularly(
      BatchCluster cluster, BatchStep step, long meanMillis, String queue, int organisation) {
    double at = 1_000;
    while (at < DAY_MILLIS) {
      at += -Math.log(1 - cluster.random.nextDouble()) * meanMillis;
      cluster.in(
          (long) at, () -> cluster.submit(queue, TestFixtures.keyOf(organisation), Jobs.of(step)));
    }
  }

  /** Lets half of the executors fail everything for some seconds, one half after another. */
  private static void scheduleWaves(BatchCluster cluster) {
    long at = 6_000;
    while (at < DAY_MILLIS) {
      long millis = 2_000L + cluster.random.nextInt(5_000);
      List<ExecutorId> ids = new ArrayList<>(cluster.executors.keySet());
      Collections.shuffle(ids, cluster.random);
      List<ExecutorId> faulty = List.copyOf(ids.subList(0, ids.size() / 2));
      cluster.in(at, () -> faulty.forEach(cluster.work::failAllOn));
      cluster.in(at + millis, () -> faulty.forEach(cluster.work::restore));
      at += millis + 500 + cluster.random.nextInt(4_000);
    }
  }
}
