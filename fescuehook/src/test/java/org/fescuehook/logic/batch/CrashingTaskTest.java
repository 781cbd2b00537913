package org.fescuehook.logic.batch;

import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;
import org.junit.jupiter.api.Test;

/**
 * Seen: one task after the other of a whole pool's executors went away for some seconds, each a few
 * milliseconds after a start of the same task, with all that ran there. The task was started 26
 * times, and other tasks were lost beside it several times in a row.
 *
 * <p>Cause: a run that is lost with its executor counted for nothing. Its task went back into the
 * queue as if it had never run, and the next place was chosen without a look at what had happened
 * at the last one; neither was stored, so that a new owner knew as little.
 *
 * <p>Shown by: each executor that went silent did so 3 to 11 ms after a start of this task,
 * whatever else ran there, and none went silent without it. {@link CrashingWork} fails a history in
 * which such a task is started a third time after three executors have crashed under it.
 */
class CrashingTaskTest {

  private static final Optional<CallAnswer> FAILED =
      Optional.of(new CallAnswer.Phase(JobPhase.FAILED));

  private static final long SOON_MILLIS = 20;

  @Test
  void aTaskThatCrashesEachExecutorIsGivenUp() {
    BatchCluster cluster = new BatchCluster(2, 8, 1);
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 2000)));
    cluster.work.crashes.crashes(new TaskName(job, 0, 0, 0), SOON_MILLIS);
    cluster.runUntil("the end of the job", 40_000, () -> cluster.status(job).equals(FAILED));
  }
}
