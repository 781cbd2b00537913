package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a task that is given up because its executors crashed by themselves, were cut off,
 * or left.
 */
class CrashAttributionTest {

  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));

  private static final long DOWN_MILLIS = 3000;

  private final BatchCluster cluster = new BatchCluster(2, 8, 1);

  private String submitted(long millis) {
    cluster.awaitOwner();
    cluster.run(200);
    return cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, millis)));
  }

  private List<ExecutorId> used() {
    return cluster.executors.values().stream()
        .filter(executor -> !executor.running().isEmpty())
        .map(executor -> executor.profile().id())
        .toList();
  }

  /** Lets the task run for a while after the given number of starts, and returns its executor. */
  private ExecutorId runOnNextExecutor(int starts, long millis) {
    cluster.runUntil("a start", 15_000, () -> cluster.work.starts().size() >= starts);
    cluster.run(millis);
    return used().getFirst();
  }

  @Test
  void aTaskThatRanForAWhileBeforeEachOfThreeCrashesCompletes() {
    String job = submitted(6000);
    for (int crash = 1; crash <= 3; crash++) {
      cluster.crashes.restart(runOnNextExecutor(crash, 3000), DOWN_MILLIS);
    }
    cluster.runUntil("the end", 15_000, () -> cluster.status(job).equals(COMPLETED));
  }

  /** One executor crashes repeatedly by itself, so that every run on it is lost early. */
  @Test
  void twoCrashesOfOneExecutorDoNotFailATask() {
    cluster.executors.keySet().stream()
        .filter(id -> !id.value().equals("e0"))
        .toList()
        .forEach(id -> cluster.leave(id, 600_000));
    String job = submitted(4000);
    cluster.crashes.restart(runOnNextExecutor(1, 300), DOWN_MILLIS);
    cluster.crashes.restart(runOnNextExecutor(2, 300), DOWN_MILLIS);
    cluster.runUntil("the end", 20_000, () -> cluster.status(job).equals(COMPLETED));
  }

  /**
   * A gang loses two of its executors at once, twice. Guards against blaming the member whose
   * executor's crash became known first, although each other member may have ended the gang before.
   */
  @Test
  void noMemberIsBlamedWhereSeveralExecutorsOfAGangAreLostTogether() {
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(2, 8, 4000)));
    for (int loss = 1; loss <= 2; loss++) {
      runOnNextExecutor(2 * loss, 300);
      List<ExecutorId> lost = used();
      lost.forEach(id -> cluster.crashes.restart(id, DOWN_MILLIS));
    }
    cluster.runUntil("the end", 40_000, () -> cluster.status(job).equals(COMPLETED));
  }

  /**
   * A rack loses power. The first crash ends the whole gang, so the other members had already ended
   * when their executors crashed.
   */
  @Test
  void aMemberIsNotBlamedForACrashAfterItsGangWasBroken() {
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(2, 8, 4000)));
    runOnNextExecutor(2, 300);
    ExecutorId second = runs(new TaskName(job, 0, 0, 1));
    cluster.crashes.restart(runs(new TaskName(job, 0, 0, 0)), DOWN_MILLIS);
    cluster.crashes.restart(second, DOWN_MILLIS);
    runOnNextExecutor(4, 300);
    cluster.crashes.restart(runs(new TaskName(job, 0, 0, 1)), DOWN_MILLIS);
    cluster.runUntil("the end", 20_000, () -> cluster.status(job).equals(COMPLETED));
  }

  private ExecutorId runs(TaskName task) {
    return cluster.executors.values().stream()
        .filter(executor -> executor.running().stream().anyMatch(run -> run.task().equals(task)))
        .map(executor -> executor.profile().id())
        .findFirst()
        .orElseThrow();
  }

  @Test
  void aTaskWhoseExecutorsLeaveCompletes() {
    String job = submitted(4000);
    for (int left = 1; left <= 4; left++) {
      ExecutorId id = runOnNextExecutor(left, 300);
      cluster.leave(id, 60_000);
      cluster.run(100);
      cluster.crashes.restart(id, DOWN_MILLIS);
    }
    cluster.runUntil("the end", 20_000, () -> cluster.status(job).equals(COMPLETED));
  }

  /** The start is the first order that the new incarnation gets, so nothing has run. */
  @Test
  void aStartThatFindsItsExecutorRestartedDoesNotCountAgainstTheTask() {
    cluster.awaitOwner();
    cluster.run(500);
    for (ExecutorId id : List.copyOf(cluster.executors.keySet())) {
      cluster.crashes.restart(id, 0);
    }
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 1000)));
    cluster.runUntil("the end", 20_000, () -> cluster.status(job).equals(COMPLETED));
    assertEquals(1, cluster.work.starts().size());
  }

  /** A long-running task runs for months, during which many of its executors are lost. */
  @Test
  void aLongRunningTaskThatHasStartedUpSurvivesAnyNumberOfCrashes() {
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.longRunning(1, 1, 1, 0)));
    for (int crash = 1; crash <= 8; crash++) {
      cluster.crashes.restart(runOnNextExecutor(crash, 5000), DOWN_MILLIS);
    }
    cluster.run(8000);
    assertEquals(Optional.of(new CallAnswer.Phase(JobPhase.IN_PROGRESS)), cluster.status(job));
    assertEquals(9, cluster.work.starts().size());
  }
}
