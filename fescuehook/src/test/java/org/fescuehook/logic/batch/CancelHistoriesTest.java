package org.fescuehook.logic.batch;

import java.util.List;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Random histories with many cancels of long jobs, in which owners are lost together with the stops
 * that they still have to send. {@link TaskSimulation} checks that no run of a cancelled job
 * survives a fault-free period.
 */
class CancelHistoriesTest {

  private static final int HISTORIES = 60;
  private static final long DAY_MILLIS = 30_000;

  @Test
  void noHistoryOfCancelsLeavesARunBehind() {
    playAll(false);
  }

  /** Submissions arrive or are repeated after their cancels, and executors ignore stops. */
  @Test
  void noHistoryOfReorderedSubmissionsAndIgnoredStopsLeavesARunBehind() {
    playAll(true);
  }

  private static void playAll(boolean reordering) {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, reordering, faults));
  }

  private static void play(long seed, boolean reordering, List<String> faults) {
    BatchCluster cluster = new BatchCluster(4, 8, seed);
    RandomJobs.schedule(cluster);
    RandomCancels.schedule(cluster, reordering);
    int count = 1 + cluster.random.nextInt(4);
    for (int i = 0; i < count; i++) {
      long at = 3000L + cluster.random.nextInt(22_000);
      cluster.in(at, () -> faults.add(fault(cluster, reordering)));
    }
    cluster.run(DAY_MILLIS);
    cluster.run(60_000);
    cluster.awaitOwner();
    cluster.run(2000);
    RandomJobs.check(cluster);
  }

  private static String fault(BatchCluster cluster, boolean ignoringStops) {
    if (ignoringStops && cluster.random.nextInt(4) == 0) {
      cluster.executors.values().forEach(executor -> executor.ignoreStops(1));
      return "each executor ignores a stop from " + cluster.nowMillis() + " on";
    }
    if (cluster.owner().isEmpty() || cluster.random.nextBoolean()) {
      return RandomBatchHistoriesTest.fault(cluster);
    }
    VmId owner = cluster.owner().orElseThrow().id;
    long lostMillis = cluster.random.nextInt(1500);
    long away = 500L + cluster.random.nextInt(3000);
    cluster.faults.lostStops = true;
    cluster.in(
        lostMillis,
        () -> {
          cluster.faults.lostStops = false;
          cluster.restart(owner, away);
        });
    String when = " at " + cluster.nowMillis() + " for " + lostMillis;
    return "stops lost, then the owner killed, for " + away + when;
  }
}
