package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a job that waits for minutes in an idle fleet because an earlier one has hundreds
 * of tasks that were lost with their executors. Each of these may have crashed its executor, so
 * they start one at a time on each executor, and the earlier job took every turn.
 */
class SuspectTurnsTest {

  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));
  private static final int WIDE = 240;

  private final BatchCluster cluster = new BatchCluster(1, 3, 1);

  private static BatchStep small(int count) {
    return new BatchStep(
        count,
        new ResourceVector(100, 100, 0),
        4000,
        List.of(),
        BatchStep.PlacementRule.ANYWHERE,
        false,
        false,
        "image");
  }

  private String submitWide() {
    cluster.awaitOwner();
    cluster.run(500);
    return cluster.submit(BatchCluster.NORMAL, Jobs.of(small(WIDE)));
  }

  private void crashAllOnceStarted(int tasks) {
    cluster.runUntil("the starts", 3000, () -> cluster.work.starts().size() == tasks);
    cluster.run(500);
    crashAll();
  }

  private void crashAll() {
    Set.copyOf(cluster.executors.keySet())
        .forEach((ExecutorId id) -> cluster.crashes.restart(id, 1000));
  }

  @Test
  void aLostTaskOfALaterJobStartsBesideHundredsOfAnEarlierOne() {
    String wide = submitWide();
    String later = cluster.submit(BatchCluster.NORMAL, Jobs.of(small(2)));
    crashAllOnceStarted(WIDE + 2);
    cluster.runUntil("the later job", 20_000, () -> cluster.status(later).equals(COMPLETED));
    assertNotEquals(COMPLETED, cluster.status(wide));
  }

  /** Users accept capacity that is idle for at most 3 s while work waits. */
  @Test
  void aNewJobStartsBesideHundredsOfTasksThatMayHaveCrashedTheirExecutors() {
    submitWide();
    crashAllOnceStarted(WIDE);
    cluster.run(6000);
    String added = cluster.submit(BatchCluster.NORMAL, Jobs.of(small(1)));
    cluster.runUntil(
        "the new job",
        3000,
        () -> cluster.work.starts().stream().anyMatch(run -> run.task().job().equals(added)));
  }

  /** The soak expects each accepted job to end within a minute after the last fault. */
  @Test
  void aJobOfHundredsOfLostTasksEndsWithinAMinute() {
    String wide = submitWide();
    crashAllOnceStarted(WIDE);
    cluster.runUntil("the wide job", 60_000, () -> cluster.status(wide).equals(COMPLETED));
  }

  private boolean ended(String job) {
    return cluster
        .status(job)
        .filter(shown -> shown instanceof CallAnswer.Phase(JobPhase phase) && phase.ended())
        .isPresent();
  }

  /** The same for tasks that were lost with their executors twice. */
  @Test
  void aJobOfHundredsOfTasksLostTwiceEndsWithinAMinute() {
    String wide = submitWide();
    crashAllOnceStarted(WIDE);
    for (int crash = 0; crash < 2; crash++) {
      cluster.run(3500);
      crashAll();
    }
    cluster.runUntil("the wide job", 60_000, () -> ended(wide));
    assertEquals(COMPLETED, cluster.status(wide));
  }
}
