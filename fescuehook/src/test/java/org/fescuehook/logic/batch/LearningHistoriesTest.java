package org.fescuehook.logic.batch;

import java.util.List;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/**
 * Histories with random faults in which speeds and run times are learned while executors become
 * slow and normal again. Guards against a run of a task beside another one, and against jobs that
 * never end because their runs are moved, deferred or stopped for being overlong.
 */
class LearningHistoriesTest {

  private static final int HISTORIES = 40;
  private static final long DAY_MILLIS = 30_000;

  private static final SchedulingPreferences LEARNING =
      new SchedulingPreferences(true, true, false, false, false, false, false);

  @Test
  void noHistoryOfFaultsAndSlowExecutorsBreaksAPromise() {
    Histories.playAll(HISTORIES, LearningHistoriesTest::play);
  }

  private static void play(long seed, List<String> faults) {
    BatchCluster cluster =
        new BatchCluster(
            4, 8, seed, TestFixtures.configuration(), TestFixtures.preferences(LEARNING));
    RandomJobs.schedule(cluster);
    int count = 2 + cluster.random.nextInt(6);
    for (int i = 0; i < count; i++) {
      long at = 2000L + cluster.random.nextInt(20_000);
      cluster.in(at, () -> faults.add(RandomBatchHistoriesTest.fault(cluster)));
      long slowAt = 2000L + cluster.random.nextInt(20_000);
      cluster.in(slowAt, () -> faults.add(slowDown(cluster)));
    }
    cluster.run(DAY_MILLIS);
    cluster.run(60_000);
    cluster.awaitOwner();
    cluster.run(2000);
    RandomJobs.check(cluster);
  }

  private static String slowDown(BatchCluster cluster) {
    List<ExecutorId> ids = List.copyOf(cluster.executors.keySet());
    ExecutorId slow = ids.get(cluster.random.nextInt(ids.size()));
    cluster.work.slowDown(slow, 1 / 7.0);
    cluster.in(7000, () -> cluster.work.restore(slow));
    return slow + " slow at " + cluster.nowMillis();
  }
}
