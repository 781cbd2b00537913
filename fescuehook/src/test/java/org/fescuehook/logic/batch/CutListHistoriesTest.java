package org.fescuehook.logic.batch;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random histories in which executors list only a few of the ends that wait for their
 * acknowledgement. Guards against tasks that run again after they are done because their ends are
 * not listed yet, which {@link TaskSimulation} finds, and against jobs that never end because ends
 * stay unread.
 */
class CutListHistoriesTest {

  private static final int HISTORIES = 40;
  private static final long DAY_MILLIS = 30_000;

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5})
  void noTaskRunsAgainWhoseEndIsNotListedYet(int endsPerAnswer) {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, endsPerAnswer, faults));
  }

  private static void play(long seed, int endsPerAnswer, List<String> faults) {
    BatchCluster cluster = new BatchCluster(4, 8, seed);
    cluster.work.endsPerAnswer = endsPerAnswer;
    RandomJobs.schedule(cluster);
    RandomJobs.scheduleShort(cluster);
    RandomCancels.schedule(cluster, false);
    int count = 3 + cluster.random.nextInt(6);
    for (int i = 0; i < count; i++) {
      long at = 2000L + cluster.random.nextInt(24_000);
      cluster.in(at, () -> faults.add(RandomBatchHistoriesTest.fault(cluster)));
    }
    cluster.run(DAY_MILLIS);
    cluster.run(60_000);
    cluster.awaitOwner();
    cluster.run(2000);
    RandomJobs.check(cluster);
  }
}
