package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Random histories with gangs of up to 32 members beside single tasks, in which orders are carried
 * out late without an answer until the end. Guards against attempts of gangs that never come to run
 * and hold the capacity of a half idle fleet meanwhile.
 */
class WideGangsUnderLossHistoriesTest {

  private static final int HISTORIES = 12;
  private static final int EXECUTORS = 64;
  private static final int JOBS = 45;
  private static final long FAULT_MILLIS = 5000;

  /** As in {@link LostAnswersHistoriesTest}. */
  private static final long JUDGED_FROM_MILLIS = FAULT_MILLIS + 3000;

  private static final long DAY_MILLIS = 40_000;

  /**
   * Guards against a gang that is broken while it waits for a member whose start is late: the
   * members that wait make no progress, which says nothing about their executors.
   */
  @Test
  void noGangIsBrokenWhileOneAnswerInTenIsLost() {
    Histories.playAll(
        HISTORIES,
        (seed, faults) -> {
          BatchCluster cluster = cluster(seed);
          assertEquals(List.of(), breaches(cluster, 0.1, 0));
          assertEquals(0, cluster.notes(BatchLogEvent.EXECUTOR_DOUBTED).size());
          assertEquals(0, cluster.work.waste.gangsBroken());
        });
  }

  @Test
  void noJobIsIdleWhileMostAnswersAreLost() {
    Histories.playAll(
        HISTORIES, (seed, faults) -> assertEquals(List.of(), breaches(cluster(seed), 0.6, 0)));
  }

  @Test
  void noJobIsIdleWhileMostAnswersAreLostAndSomeExecutorsAreCutOff() {
    Histories.playAll(
        HISTORIES, (seed, faults) -> assertEquals(List.of(), breaches(cluster(seed), 0.6, 0.2)));
  }

  private static BatchCluster cluster(long seed) {
    return new BatchCluster(
        3, EXECUTORS, seed, TestFixtures.configuration(), TestFixtures.AS_DEPLOYED);
  }

  private static List<String> breaches(BatchCluster cluster, double lostShare, double cutShare) {
    IdleJobChecks checks = new IdleJobChecks(cluster);
    for (int i = 0; i < JOBS; i++) {
      cluster.in(1500 + cluster.random.nextInt(34_000), () -> submit(cluster, checks));
    }
    cluster.in(FAULT_MILLIS, () -> begin(cluster, lostShare, cutShare));
    cluster.in(JUDGED_FROM_MILLIS, () -> checks.checkUntil(DAY_MILLIS));
    cluster.run(DAY_MILLIS);
    return checks.breaches();
  }

  private static void begin(BatchCluster cluster, double lostShare, double cutShare) {
    cluster.faults.lateOrderRate = lostShare;
    Set<ExecutorId> cut = new HashSet<>();
    for (ExecutorId id : cluster.executors.keySet()) {
      if (cluster.random.nextDouble() < cutShare) {
        cut.add(id);
      }
    }
    cluster.faults.cutLossRate = 0.5;
    cluster.vms.keySet().forEach(vm -> cluster.faults.cutFromExecutors.put(vm, cut));
  }

  private static void submit(BatchCluster cluster, IdleJobChecks checks) {
    long millis = 1000L + cluster.random.nextInt(4000);
    Submission submission =
        switch (cluster.random.nextInt(3)) {
          case 0 -> Jobs.of(Jobs.gang(8 + cluster.random.nextInt(25), 2, millis));
          case 1 -> Jobs.of(Jobs.gang(2 + cluster.random.nextInt(7), 4, millis));
          default -> Jobs.of(Jobs.tasks(1 + cluster.random.nextInt(6), 1, millis));
        };
    String[] queues = {BatchCluster.URGENT, BatchCluster.NORMAL, BatchCluster.BULK};
    checks.submit(queues[cluster.random.nextInt(queues.length)], submission);
  }
}
