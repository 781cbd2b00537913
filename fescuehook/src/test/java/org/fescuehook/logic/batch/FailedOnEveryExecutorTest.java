package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a job with attempts left that never starts again, since a run of it has failed on
 * each executor that it may use. Each case is played with and without start reliability.
 */
class FailedOnEveryExecutorTest {

  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));

  /** A rack of two executors in a fleet of ten; its name is a label of both. */
  private static final String RACK = "small";

  private static final List<ExecutorId> IN_RACK =
      List.of(new ExecutorId("s0"), new ExecutorId("s1"));

  private static final long FAULT_MILLIS = 6500;

  /** How long after a fault callers expect their jobs to end. */
  private static final long FINISH_MILLIS = 14_000;

  private static BatchCluster cluster(boolean startReliability) {
    BatchCluster cluster =
        new BatchCluster(
            1,
            8,
            1,
            TestFixtures.configuration(),
            new SchedulingPreferences(false, false, startReliability, false, false, false, false));
    IN_RACK.forEach(id -> cluster.addExecutor(id.value(), RACK));
    cluster.awaitOwner();
    cluster.run(500);
    return cluster;
  }

  private static BatchStep inRack(BatchStep step) {
    return Jobs.labelled(step, RACK);
  }

  private static void fail(BatchCluster cluster, List<ExecutorId> executors) {
    executors.forEach(cluster.work::failAllOn);
    cluster.in(FAULT_MILLIS, () -> executors.forEach(cluster.work::restore));
  }

  private static void assertCompletes(BatchCluster cluster, String job) {
    cluster.runUntil(
        "the end of " + job,
        FAULT_MILLIS + FINISH_MILLIS,
        () -> cluster.status(job).equals(COMPLETED));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aTaskStartsAgainAfterAFailureOnEachExecutorOfItsRack(boolean startReliability) {
    BatchCluster cluster = cluster(startReliability);
    fail(cluster, IN_RACK);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(inRack(Jobs.tasks(1, 1, 2500))));
    assertCompletes(cluster, job);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void theLastAttemptOnTheOnlyExecutorWaitsForTheEndOfAFault(boolean startReliability) {
    BatchCluster cluster = cluster(startReliability);
    cluster.addExecutor("alone", "alone");
    cluster.run(500);
    fail(cluster, List.of(new ExecutorId("alone")));
    String job =
        cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.labelled(Jobs.tasks(1, 1, 1000), "alone")));
    assertCompletes(cluster, job);
    assertEquals(2, cluster.work.starts().size());
  }

  /** The gang needs both executors of its rack, so that none may be left out. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aGangStartsAgainOnTheExecutorsThatItNeeds(boolean startReliability) {
    BatchCluster cluster = cluster(startReliability);
    fail(cluster, IN_RACK.subList(0, 1));
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(inRack(Jobs.gang(2, 8, 2500))));
    assertCompletes(cluster, job);
  }

  /** Without start reliability, an executor is suspect until a run has ended well there. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aGangStartsOnExecutorsOnWhichRunsOfAnotherJobHaveFailed(boolean startReliability) {
    BatchCluster cluster = cluster(startReliability);
    fail(cluster, IN_RACK.subList(0, 1));
    String other = cluster.submit(BatchCluster.BULK, Jobs.of(inRack(Jobs.tasks(1, 1, 1000))));
    cluster.runUntil(
        "a failure", 2000, () -> cluster.work.failures(new TaskName(other, 0, 0, 0)) == 1);
    String gang = cluster.submit(BatchCluster.NORMAL, Jobs.of(inRack(Jobs.gang(2, 8, 1000))));
    assertCompletes(cluster, gang);
  }

  /** One task after the other fails once, until each of the ten executors has failed one. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aFailedTaskDoesNotBarTheOthersOfItsStep(boolean startReliability) {
    BatchCluster cluster = cluster(startReliability);
    cluster.work.failRuns((TaskRun run) -> run.number() == 1 && run.task().index() % 8 == 0);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(240, 1, 1000)));
    assertCompletes(cluster, job);
    int most =
        cluster.work.starts().stream()
            .mapToInt(run -> cluster.work.failures(run.task()))
            .max()
            .orElseThrow();
    assertEquals(1, most);
    assertTrue(cluster.work.starts().size() >= 240 + 30);
  }
}
