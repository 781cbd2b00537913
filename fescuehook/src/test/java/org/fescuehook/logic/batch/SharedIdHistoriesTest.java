package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Random histories of organisations that choose the same job ids in several queues, over take-overs
 * and other faults. Guards against calls that are answered about a job that is not the caller's.
 */
class SharedIdHistoriesTest {

  private static final int HISTORIES = 60;
  private static final long DAY_MILLIS = 30_000;

  @Test
  void noCallerIsAnsweredAboutAnothersJob() {
    Histories.playAll(HISTORIES, SharedIdHistoriesTest::play);
  }

  private static void play(long seed, List<String> faults) {
    BatchCluster cluster = new BatchCluster(4, 8, seed, TestFixtures.configuration(2, 0));
    SharedIdCallers callers = new SharedIdCallers(cluster);
    callers.schedule(2 * DAY_MILLIS);
    int count = 1 + cluster.random.nextInt(5);
    for (int i = 0; i < count; i++) {
      long at = 2000L + cluster.random.nextInt(20_000);
      cluster.in(at, () -> faults.add(RandomBatchHistoriesTest.fault(cluster)));
    }
    cluster.run(3 * DAY_MILLIS);
    cluster.awaitOwner();
    callers.checkEnds();
    assertEquals(List.of(), callers.breaches());
    assertTrue(callers.judged() > 0 && callers.acceptedCallers() > 0);
  }
}
