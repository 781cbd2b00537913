package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a job that is shown as failed because its executors were cut off, although none of
 * them crashed and no run failed.
 */
class CutOffExecutorTest {

  private static final Optional<CallAnswer> COMPLETED = phase(JobPhase.COMPLETED);

  /** Longer than a lease, so that the owner gives up the runs on a silent executor. */
  private static final long CUT_MILLIS = 6600;

  /** Number of lost executors after which a task is given up. */
  private static final int LOSS_LIMIT = 5;

  private final BatchCluster cluster = new BatchCluster(3, 8, 1);

  private static Optional<CallAnswer> phase(JobPhase phase) {
    return Optional.of(new CallAnswer.Phase(phase));
  }

  @BeforeEach
  void begin() {
    cluster.crashes.reportStartTimes();
    cluster.crashes.keepIds(true);
    cluster.awaitOwner();
    cluster.run(200);
  }

  private String submit(long millis) {
    return cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, millis)));
  }

  /** Leaves one executor to new runs. */
  private void keepOnly(String name) {
    cluster.executors.keySet().stream()
        .filter(id -> !id.value().equals(name))
        .toList()
        .forEach(id -> cluster.leave(id, 600_000));
  }

  private ExecutorId awaitStart(int starts) {
    cluster.runUntil("start " + starts, 30_000, () -> cluster.work.starts().size() >= starts);
    cluster.run(300);
    return cluster.executors.values().stream()
        .filter(executor -> !executor.running().isEmpty())
        .map(executor -> executor.profile().id())
        .filter(id -> !cluster.faults.silent.contains(id))
        .findFirst()
        .orElseThrow();
  }

  private void awaitLosses(int losses) {
    cluster.runUntil(
        "loss " + losses,
        10_000,
        () -> cluster.notes(BatchLogEvent.RUN_LOST_WITH_EXECUTOR).size() >= losses);
  }

  private void awaitCompleted(String job) {
    cluster.runUntil("the end", 30_000, () -> cluster.status(job).equals(COMPLETED));
  }

  @Test
  void aTaskWhoseOnlyExecutorIsCutOffAgainAndAgainCompletes() {
    keepOnly("e0");
    String job = submit(9000);
    for (int cut = 1; cut <= LOSS_LIMIT + 2; cut++) {
      ExecutorId id = awaitStart(cut);
      cluster.faults.silent.add(id);
      cluster.run(CUT_MILLIS);
      cluster.faults.silent.remove(id);
    }
    awaitCompleted(job);
  }

  /** The executor is reachable again only under the next owner, which knows the loss as stored. */
  @Test
  void aNewOwnerFindsThatACutOffExecutorDidNotCrash() {
    keepOnly("e0");
    String job = submit(9000);
    for (int cut = 1; cut <= LOSS_LIMIT + 1; cut++) {
      ExecutorId id = awaitStart(cut);
      cluster.faults.silent.add(id);
      awaitLosses(cut);
      cluster.run(200);
      cluster.restart(cluster.owner().orElseThrow().id, 1000);
      cluster.awaitOwner();
      cluster.faults.silent.remove(id);
    }
    awaitCompleted(job);
  }

  /** All executors that have run the task are cut off at the same time, and it is unclear why. */
  @Test
  void aTaskWaitsAtTheLimitUntilItIsKnownWhetherItsExecutorsCrashed() {
    String job = submit(9000);
    List<ExecutorId> cut = new ArrayList<>();
    for (int loss = 1; loss <= LOSS_LIMIT; loss++) {
      ExecutorId id = awaitStart(loss);
      cut.add(id);
      cluster.faults.silent.add(id);
      awaitLosses(loss);
    }
    cluster.run(4000);
    assertEquals(LOSS_LIMIT, cluster.work.starts().size());
    assertEquals(phase(JobPhase.IN_PROGRESS), cluster.status(job));
    cluster.faults.silent.removeAll(cut);
    awaitCompleted(job);
  }

  /** The entry of an executor that has crashed would have been removed from the list long since. */
  @Test
  void aTaskGoesOnWhileItsExecutorsStayCutOffAndAreListedAnew() {
    String job = submit(9000);
    List<ExecutorId> cut = new ArrayList<>();
    for (int loss = 1; loss <= LOSS_LIMIT; loss++) {
      ExecutorId id = awaitStart(loss);
      cut.add(id);
      cluster.faults.silent.add(id);
      awaitLosses(loss);
    }
    for (int second = 1; second <= 25; second++) {
      cut.forEach(cluster::list);
      cluster.run(1000);
    }
    assertEquals(COMPLETED, cluster.status(job));
  }

  /** Executors that are cut off from the store too are listed again when they reach it. */
  @Test
  void aCutOffExecutorWhoseEntryWasRemovedDoesNotCount() {
    keepOnly("e0");
    String job = submit(9000);
    for (int cut = 1; cut <= LOSS_LIMIT + 1; cut++) {
      ExecutorId id = awaitStart(cut);
      cluster.faults.silent.add(id);
      cluster.in(4500, () -> cluster.unlist(id));
      cluster.run(15_000);
      cluster.faults.silent.remove(id);
      cluster.list(id);
    }
    awaitCompleted(job);
  }

  /** Each executor has crashed and is back only after its leases have expired. */
  @Test
  void aTaskIsGivenUpIfEachLostExecutorComesBackAsAnotherIncarnation() {
    cluster.crashes.setDownMillis(8000);
    String job = submit(2000);
    TaskName task = new TaskName(job, 0, 0, 0);
    cluster.work.crashingTasks.crashAfter(task, 20);
    cluster.runUntil("the end", 90_000, () -> cluster.status(job).equals(phase(JobPhase.FAILED)));
    assertTrue(cluster.work.crashingTasks.crashesUnder(task) <= LOSS_LIMIT);
  }
}
