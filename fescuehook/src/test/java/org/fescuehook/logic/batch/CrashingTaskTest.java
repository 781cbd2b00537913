package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a task that crashes one executor after the other, 3 to 11 ms after each of its
 * starts, and with each of them all other runs there. One such task was started 26 times, since a
 * run that was lost with its executor did not count against its task, neither for the next
 * placement nor in the store, where the next owner would find it. {@link CrashingTasks} fails a
 * history that starts such a task a third time after three executors have crashed under it.
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
    cluster.work.crashingTasks.crashAfter(new TaskName(job, 0, 0, 0), SOON_MILLIS);
    cluster.runUntil("the end of the job", 40_000, () -> cluster.status(job).equals(FAILED));
  }

  @Test
  void aNewOwnerKnowsHowManyExecutorsHaveCrashed() {
    BatchCluster cluster = new BatchCluster(3, 8, 1);
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 2000)));
    TaskName task = new TaskName(job, 0, 0, 0);
    cluster.work.crashingTasks.crashAfter(task, SOON_MILLIS);
    for (int crashes = 1; crashes <= 8; crashes++) {
      int next = crashes;
      cluster.runUntil(
          "crash " + crashes + " or the end of the job",
          20_000,
          () ->
              cluster.work.crashingTasks.crashesUnder(task) >= next
                  || cluster.status(job).equals(FAILED));
      VmId owner = cluster.owner().orElseThrow().id;
      cluster.restart(owner, 1000);
      cluster.awaitOwner();
    }
    assertEquals(FAILED, cluster.status(job));
  }

  /** The executor crashes before it can answer the start. */
  @Test
  void aTaskWhoseStartIsNeverAnsweredIsGivenUpToo() {
    BatchCluster cluster = new BatchCluster(2, 8, 1);
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 2000)));
    cluster.work.crashingTasks.crashAfter(new TaskName(job, 0, 0, 0), 0);
    cluster.runUntil("the end of the job", 60_000, () -> cluster.status(job).equals(FAILED));
  }

  /** Crashes so long after the start may each have another cause. */
  @Test
  void aTaskThatCrashesItsExecutorsAfterAWhileIsGivenUpToo() {
    BatchCluster cluster = new BatchCluster(2, 8, 1);
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 8000)));
    cluster.work.crashingTasks.crashAfter(new TaskName(job, 0, 0, 0), 4000);
    cluster.runUntil("the end of the job", 60_000, () -> cluster.status(job).equals(FAILED));
  }

  /** Nothing answers at the old address, and the next owner does not find the executor listed. */
  @Test
  void aTaskWhoseExecutorsDoNotComeBackIsGivenUpByEachNextOwner() {
    BatchCluster cluster = new BatchCluster(3, 12, 1);
    cluster.crashes.setDownMillis(1_000_000);
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 2000)));
    TaskName task = new TaskName(job, 0, 0, 0);
    cluster.work.crashingTasks.crashAfter(task, SOON_MILLIS);
    for (int crashes = 1; !cluster.status(job).equals(FAILED); crashes++) {
      int next = crashes;
      cluster.runUntil(
          "crash " + crashes + " or the end of the job",
          40_000,
          () ->
              cluster.work.crashingTasks.crashesUnder(task) >= next
                  || cluster.status(job).equals(FAILED));
      cluster.restart(cluster.owner().orElseThrow().id, 1000);
      cluster.run(5000);
      cluster.awaitOwner();
    }
  }

  @Test
  void aMemberThatCrashesItsExecutorEndsItsGang() {
    BatchCluster cluster = new BatchCluster(2, 8, 1);
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(3, 8, 2000)));
    cluster.work.crashingTasks.crashAfter(new TaskName(job, 0, 0, 1), SOON_MILLIS);
    cluster.runUntil("the end of the job", 60_000, () -> cluster.status(job).equals(FAILED));
  }

  @Test
  void aLongRunningTaskThatCrashesItsExecutorsIsGivenUp() {
    BatchCluster cluster = new BatchCluster(2, 8, 1);
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.longRunning(2, 1, 1, 0)));
    cluster.work.crashingTasks.crashAfter(new TaskName(job, 0, 0, 0), SOON_MILLIS);
    cluster.runUntil("the end of the job", 60_000, () -> cluster.status(job).equals(FAILED));
  }
}
