package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a start in the former pool of a queue: the task was placed there, and a
 * configuration gave the queue another pool while a slow store was storing the placement.
 */
class MovedQueueTest {

  private static final String OTHER_POOL = "other";
  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));

  private final BatchCluster cluster = new BatchCluster(1, 1, 1);

  @Test
  void aTaskThatWasPlacedBeforeItsQueueMovedStartsInTheNewPool() {
    cluster.addExecutor(TestFixtures.ofPool("other-0", "r0", OTHER_POOL));
    cluster.awaitOwner();
    cluster.run(500);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 1000)));
    cluster.faults.appendMillis = 3000;
    cluster.runUntil(
        "a placement", 2000, () -> cluster.notes(BatchLogEvent.RUN_PLACED).size() == 1);
    cluster.configure(TestFixtures.withPool(2, OTHER_POOL));
    cluster.runUntil("the start", 10_000, () -> cluster.work.starts().size() == 1);
    assertEquals(1, cluster.executors.get(new ExecutorId("other-0")).running().size());
    cluster.faults.appendMillis = 0;
    cluster.runUntil("the end", 8000, () -> cluster.status(job).equals(COMPLETED));
  }
}
