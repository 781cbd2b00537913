package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;
import org.junit.jupiter.api.Test;

/**
 * Guards against a task that crashes its executors and takes up to seven other runs with it each
 * time, since placement fills one executor after the other. One of those runs was then placed
 * beside it again, so that two executors had crashed under that task too.
 *
 * <p>A task that may have crashed an executor starts where nothing else runs, and no other work
 * joins it until it has run for a while: the next crash then costs least and shows best whether the
 * task is the cause.
 */
class SuspectPlacementTest {

  private static final Optional<CallAnswer> FAILED =
      Optional.of(new CallAnswer.Phase(JobPhase.FAILED));
  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));

  private final BatchCluster cluster = new BatchCluster(1, 8, 1);

  private int lostRunsBeside(String job) {
    return (int)
        cluster.notes(BatchLogEvent.RUN_LOST_WITH_EXECUTOR).stream()
            .map(note -> (TaskRun) note.arguments().getFirst())
            .filter(run -> !run.task().job().equals(job))
            .count();
  }

  @Test
  void onlyTheFirstCrashLosesOtherRuns() {
    cluster.awaitOwner();
    cluster.run(200);
    String neighbour = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(4, 1, 9000)));
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 2000)));
    TaskName task = new TaskName(job, 0, 0, 0);
    cluster.work.crashingTasks.crashAfter(task, 20);
    cluster.runUntil("a crash", 1000, () -> cluster.work.crashingTasks.crashesUnder(task) == 1);
    cluster.runUntil("the end of the job", 30_000, () -> cluster.status(job).equals(FAILED));
    assertEquals(2, cluster.work.crashingTasks.crashesUnder(task));
    assertEquals(4, lostRunsBeside(job));
    cluster.runUntil("the others", 20_000, () -> cluster.status(neighbour).equals(COMPLETED));
  }

  @Test
  void nothingIsPlacedBesideASuspectTaskBeforeItHasRunForAWhile() {
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 8000)));
    cluster.runUntil("the start", 1000, () -> cluster.work.starts().size() == 1);
    cluster.run(200);
    FakeExecutor first = runs(job);
    cluster.crashes.restart(first.profile().id(), 1000);
    cluster.runUntil("the second start", 8000, () -> cluster.work.starts().size() == 2);
    FakeExecutor second = runs(job);
    String filler = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(40, 1, 20_000)));
    cluster.run(1000);
    assertEquals(1, second.running().size());
    assertTrue(running(filler) > 0);
    cluster.run(2000);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 1000)));
    cluster.run(300);
    assertEquals(2, second.running().size());
    cluster.runUntil("the end", 20_000, () -> cluster.status(job).equals(COMPLETED));
  }

  private FakeExecutor runs(String job) {
    return cluster.executors.values().stream()
        .filter(executor -> executor.running().stream().anyMatch(run -> isOf(job, run)))
        .findFirst()
        .orElseThrow();
  }

  private static boolean isOf(String job, TaskRun run) {
    return run.task().job().equals(job);
  }

  private long running(String job) {
    return cluster.executors.values().stream()
        .map(FakeExecutor::running)
        .flatMap(List::stream)
        .filter(run -> isOf(job, run))
        .count();
  }
}
