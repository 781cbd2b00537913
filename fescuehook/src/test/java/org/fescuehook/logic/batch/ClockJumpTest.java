package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.junit.jupiter.api.Test;

/**
 * Seen: jobs that ended a moment ago are answered as unknown, all at once. The clock of the owner's
 * VM was set forward, or the next owner's is ahead of the former one's. Cause: how long an ended
 * job is shown is counted by the clock of the day, not by time that has passed.
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
    cluster.faults.wallAhead = 130_000;
    cluster.run(1000);
    assertEquals(completed, cluster.status(job));
  }
}
