package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a plan that places more tasks of a step on an executor than the step allows there.
 * Once executors were lost under its tasks, a step is planned in several groups, of which each one
 * used the whole limit. {@link TaskSimulation} checks each start.
 */
class PlacementLimitTest {

  private static final int EXECUTORS = 3;

  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));

  private final BatchCluster cluster = new BatchCluster(1, EXECUTORS, 1);

  /**
   * Every executor runs as many tasks as are allowed, and as many wait, when one executor crashes
   * and restarts. Its tasks are planned one by one, beside those that have waited.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void groupsOfAStepThatArePlannedTogetherKeepItsLimit(int limit) {
    cluster.crashes.reportStartTimes();
    cluster.awaitOwner();
    cluster.run(200);
    int fitting = EXECUTORS * limit;
    String job =
        cluster.submit(
            BatchCluster.URGENT,
            Jobs.of(Jobs.limited(Jobs.tasks(fitting + limit, 1, 20_000), limit)));
    cluster.runUntil("the first starts", 1000, () -> cluster.work.starts().size() == fitting);
    cluster.run(100);
    ExecutorId crashing = cluster.executors.keySet().iterator().next();
    cluster.crashes.restartWithSameId(crashing, 300, 0);
    cluster.runUntil("the end", 80_000, () -> cluster.status(job).equals(COMPLETED));
    assertEquals(1, cluster.crashes.restarts());
  }

  /** The only executor has cores for one of the two tasks, and may not run the other one. */
  @Test
  void nothingIsPreemptedForATaskThatTheLimitKeepsWaiting() {
    BatchCluster one = new BatchCluster(1, 1, 1);
    one.awaitOwner();
    one.run(200);
    one.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(15, 0, 10_000)));
    one.runUntil("the first starts", 1000, () -> one.work.starts().size() == 15);
    one.submit(BatchCluster.URGENT, Jobs.of(Jobs.limited(Jobs.tasks(2, 0, 2000), 1)));
    one.run(1000);
    assertEquals(16, one.work.starts().size());
    assertEquals(List.of(), one.notes(BatchLogEvent.RUN_STOPPING));
  }
}
