package org.fescuehook.logic.batch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.fleet.RackId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against work that waits for a pool whose executors are idle, because another pool is full.
 */
class SeveralPoolsTest {

  private static final String SMALL_POOL = "small";
  private static final String SMALL_QUEUE = "small-normal";
  private static final int LARGE_ACCELERATORS = 6 * 8;

  private final BatchCluster cluster = new BatchCluster(2, 6, 1, configuration());

  private static BatchConfiguration configuration() {
    BatchConfiguration onePool = TestFixtures.configuration();
    Map<String, JobQueue> queues = new HashMap<>(onePool.queues());
    queues.put(SMALL_QUEUE, new JobQueue(SMALL_QUEUE, SMALL_POOL, 1, 3, 3, 1000, false, false));
    return new BatchConfiguration(1, queues, onePool.organisations());
  }

  @BeforeEach
  void fillLargePool() {
    for (int i = 0; i < 2; i++) {
      cluster.addExecutor(TestFixtures.ofPool("small-" + i, "small-rack-" + i, SMALL_POOL));
    }
    cluster.awaitOwner();
    cluster.run(500);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.longRunning(LARGE_ACCELERATORS, 1, 1, 0)));
    cluster.runUntil("a full pool", 5000, () -> cluster.work.starts().size() == LARGE_ACCELERATORS);
  }

  private void assertCompletes(long limitMillis, BatchStep step) {
    String job = cluster.submit(SMALL_QUEUE, Jobs.of(step));
    Optional<CallAnswer> completed = Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));
    cluster.runUntil("the end", limitMillis, () -> cluster.status(job).equals(completed));
  }

  @Test
  void aTaskStartsInAnIdlePoolBesideAFullOne() {
    assertCompletes(2500, Jobs.tasks(2, 1, 1000));
  }

  @Test
  void aGangStartsInAnIdlePoolBesideAFullOne() {
    assertCompletes(2500, Jobs.gang(4, 2, 1000));
  }

  /** All executors near the data are in use, and most of the pool is idle. */
  @Test
  void aTaskStartsAwayFromItsDataInAnIdlePoolBesideAFullOne() {
    cluster.addExecutor(TestFixtures.ofPool("small-2", "small-rack-2", SMALL_POOL));
    BatchStep nearData =
        Jobs.placed(
            Jobs.tasks(8, 1, 60_000),
            new BatchStep.PlacementRule(
                false, Optional.empty(), Optional.of(new RackId("small-rack-0")), 0));
    cluster.submit(SMALL_QUEUE, Jobs.of(nearData));
    cluster.run(1000);
    String late = cluster.submit(SMALL_QUEUE, Jobs.of(nearData));
    Optional<CallAnswer> begun = Optional.of(new CallAnswer.Phase(JobPhase.IN_PROGRESS));
    cluster.runUntil("a start", 15_000, () -> cluster.status(late).equals(begun));
  }
}
