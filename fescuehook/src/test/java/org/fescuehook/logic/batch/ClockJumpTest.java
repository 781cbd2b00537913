package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.junit.jupiter.api.Test;

/**
 * Guards against ended jobs that are reported as unknown at once when a wall clock jumps ahead, or
 * when the next owner's clock is ahead of the previous owner's: the retention of ended jobs has to
 * be counted in elapsed time, not by the wall clock.
 */
class ClockJumpTest {

  @Test
  void anEndedJobIsShownAlsoAfterTheClockWasSetForward() {
    BatchCluster cluster = new BatchCluster(1, 4, 1);
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    Optional<CallAnswer> completed = Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));
    cluster.runUntil("its end", 3000, () -> cluster.status(job).equals(completed));
    cluster.faults.wallClockAheadMillis = 130_000;
    cluster.run(1000);
    assertEquals(completed, cluster.status(job));
  }
}
