package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.ResourceVector;
import org.junit.jupiter.api.Test;

/**
 * Guards against tasks that run again after they are done, since an executor lists 500 ends at a
 * time and runs whose ends are not listed yet were taken for lost. {@link TaskSimulation} fails at
 * such a start.
 */
class CutListOfEndsTest {

  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));
  private static final long TASK_MILLIS = 6000;
  private static final long OUTAGE_MILLIS = 4500;

  private final BatchCluster cluster = new BatchCluster(2, 2, 1);

  /** Starts tasks of a tenth of a core and lets the store fail shortly before they end. */
  private String submitBeforeOutage(int count) {
    cluster.awaitOwner();
    cluster.run(500);
    BatchStep step =
        new BatchStep(
            count,
            new ResourceVector(100, 100, 0),
            TASK_MILLIS,
            List.of(),
            BatchStep.PlacementRule.ANYWHERE,
            false,
            false,
            "image");
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(step));
    cluster.runUntil("all starts", 3000, () -> cluster.work.starts().size() == count);
    cluster.run(TASK_MILLIS - 2000);
    cluster.faults.storeDown = true;
    cluster.in(OUTAGE_MILLIS, () -> cluster.faults.storeDown = false);
    return job;
  }

  private void assertEachTaskRunsOnce(String job, int count) {
    cluster.runUntil("the end of the job", 20_000, () -> cluster.status(job).equals(COMPLETED));
    cluster.run(3000);
    assertEquals(count, cluster.work.starts().size());
    assertTrue(
        cluster.executors.values().stream()
            .allMatch(executor -> executor.unacknowledgedEnds() == 0));
  }

  @Test
  void noTaskRunsAgainWhoseEndWaitsBehindFiveHundredOthers() {
    String job = submitBeforeOutage(1200);
    cluster.run(OUTAGE_MILLIS - 500);
    assertTrue(
        cluster.executors.values().stream()
            .anyMatch(executor -> executor.unacknowledgedEnds() > 500));
    assertEachTaskRunsOnce(job, 1200);
  }

  /** The next owner knows the placements only, so that its first answer is a cut list. */
  @Test
  void noTaskRunsAgainForANewOwnerWhoseFirstAnswerIsCut() {
    cluster.work.endsPerAnswer = 20;
    String job = submitBeforeOutage(100);
    cluster.run(OUTAGE_MILLIS - 500);
    cluster.restart(cluster.owner().orElseThrow().id, 8000);
    assertEachTaskRunsOnce(job, 100);
  }
}
