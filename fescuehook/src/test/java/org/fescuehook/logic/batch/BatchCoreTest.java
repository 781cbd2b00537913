package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Ownership, the life cycle of jobs, and the faults of single components that the batch decisions
 * must survive.
 */
class BatchCoreTest {

  private static BatchCluster cluster() {
    BatchCluster cluster = new BatchCluster(3, 8, 1);
    cluster.awaitOwner();
    cluster.run(200);
    return cluster;
  }

  private static void awaitPhase(BatchCluster cluster, String job, JobPhase phase, long millis) {
    Optional<CallAnswer> wanted = Optional.of(new CallAnswer.Phase(phase));
    cluster.runUntil(job + " is " + phase, millis, () -> cluster.status(job).equals(wanted));
  }

  private static void assertShown(BatchCluster cluster, String job, JobPhase phase) {
    assertEquals(Optional.of(new CallAnswer.Phase(phase)), cluster.status(job), job);
  }

  @Test
  void exactlyOneOfSeveralVmsThatStartTogetherBecomesOwner() {
    BatchCluster cluster = new BatchCluster(6, 1, 1);
    cluster.run(2000);
    long owners = cluster.vms.values().stream().filter(vm -> vm.core.deciding()).count();
    assertEquals(1, owners);
  }

  /**
   * Guards against a VM that repeats a lost claim every 100 ms until it reads the winner's record.
   */
  @Test
  void aVmWhoseClaimCameTooLateWaitsForTheWinnersRecord() {
    BatchCluster cluster = new BatchCluster(6, 1, 1);
    cluster.awaitOwner();
    cluster.owner().orElseThrow().deliver(new BatchEvent.StopBegun());
    int before = cluster.claims();
    cluster.run(600);
    assertTrue(cluster.claims() - before <= 5, () -> "claims: " + cluster.claims());
  }

  @Test
  void aJobIsAcceptedOnceStoredAndCompletesWhenAllTasksAreDone() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(20, 1, 2000)));
    cluster.run(100);
    assertEquals(new CallAnswer.Accepted(), cluster.submissions.get(job));
    awaitPhase(cluster, job, JobPhase.COMPLETED, 4000);
    assertEquals(20, cluster.work.starts().size());
  }

  @Test
  void stepsRunInTheOrderOfTheirDependencies() {
    BatchCluster cluster = cluster();
    String job =
        cluster.submit(
            BatchCluster.BULK,
            Jobs.of(Jobs.tasks(3, 1, 1000), Jobs.after(Jobs.gang(2, 8, 500), 0)));
    awaitPhase(cluster, job, JobPhase.COMPLETED, 5000);
  }

  @Test
  void occurrencesStartWhenTheyAreDue() {
    BatchCluster cluster = cluster();
    long first = 1_700_000_000_000L + cluster.nowMillis() + 2000;
    String job =
        cluster.submit(BatchCluster.BULK, Jobs.repeated(first, 1000, 3, Jobs.tasks(1, 1, 500)));
    cluster.run(1900);
    assertShown(cluster, job, JobPhase.QUEUED);
    assertTrue(cluster.work.starts().isEmpty());
    awaitPhase(cluster, job, JobPhase.COMPLETED, 4000);
    assertEquals(3, cluster.work.starts().size());
  }

  @Test
  void aTaskThatFailsAsOftenAsItsQueueAllowsFailsItsJob() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(2, 1, 300)));
    TaskName failingTask = new TaskName(job, 0, 0, 1);
    cluster.work.failAlways(failingTask);
    awaitPhase(cluster, job, JobPhase.FAILED, 5000);
    assertEquals(3, cluster.work.failures(failingTask));
  }

  @Test
  void aCancelledJobStopsAndIsShownAsCancelled() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(4, 8, 20_000)));
    cluster.run(1000);
    long ticket =
        cluster
            .call(new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job))
            .orElseThrow();
    cluster.run(600);
    assertEquals(new CallAnswer.Cancelled(), cluster.answers.get(ticket));
    assertShown(cluster, job, JobPhase.CANCELLED);
    cluster.executors.values().forEach(executor -> assertEquals(List.of(), executor.running()));
  }

  @Test
  void aRepeatedJobIdIsTheSameJobAlsoUnderTheNextOwner() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    awaitPhase(cluster, job, JobPhase.COMPLETED, 3000);
    cluster.restart(cluster.owner().orElseThrow().id, 500);
    cluster.run(500);
    cluster.awaitOwner();
    long ticket =
        cluster
            .call(
                new BatchCall.Submit(
                    BatchCluster.NORMAL, BatchCluster.KEY, job, Jobs.of(Jobs.tasks(1, 1, 500))))
            .orElseThrow();
    cluster.run(3000);
    assertEquals(new CallAnswer.Accepted(), cluster.answers.get(ticket));
    assertEquals(1, cluster.work.starts().size());
  }

  @Test
  void aKilledOwnerIsReplacedBeforeLeasesExpireAndNothingRunsTwice() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(4, 8, 12_000)));
    cluster.run(1500);
    cluster.restart(cluster.owner().orElseThrow().id, 60_000);
    awaitPhase(cluster, job, JobPhase.COMPLETED, 13_000);
    assertEquals(4, cluster.work.starts().size());
  }

  @Test
  void aFrozenOwnerThatResumesAfterATakeoverStartsNothing() {
    BatchCluster cluster = cluster();
    BatchCluster.Vm former = cluster.owner().orElseThrow();
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(4, 8, 3000)));
    former.frozen = true;
    cluster.run(4000);
    former.unfreeze();
    cluster.run(4000);
    assertTrue(!former.core.deciding());
  }

  @Test
  void runsContinueWhileTheStoreIsDownAndNewJobsAreRefusedAsNotStored() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(4, 8, 9000)));
    cluster.run(500);
    cluster.faults.storeDown = true;
    cluster.run(1500);
    String refused = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    CallAnswer answer = cluster.submissions.get(refused);
    assertTrue(
        answer instanceof CallAnswer.Refused(RefusalCause cause, long millis)
            && cause == RefusalCause.STORE_AWAY
            && millis > 0,
        () -> "answer " + answer);
    cluster.run(6500);
    cluster.faults.storeDown = false;
    awaitPhase(cluster, job, JobPhase.COMPLETED, 4000);
    assertEquals(4, cluster.work.starts().size());
    assertEquals(
        Optional.of(new CallAnswer.NoSuchJob()),
        cluster.status(refused),
        "the job was never stored");
  }

  @Test
  void anOwnerThatIsCutOffFromTheStoreIsReplaced() {
    BatchCluster cluster = cluster();
    VmId former = cluster.owner().orElseThrow().id;
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(4, 8, 9000)));
    cluster.run(500);
    cluster.faults.cutFromStore.add(former);
    cluster.runUntil(
        "another owner",
        5000,
        () ->
            cluster.vms.values().stream()
                .anyMatch(vm -> vm.core.deciding() && !vm.id.equals(former)));
    awaitPhase(cluster, job, JobPhase.COMPLETED, 10_000);
    assertEquals(4, cluster.work.starts().size());
  }

  @Test
  void tasksOfACrashedExecutorRunAgainOnceTheirLeaseHasExpired() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(4, 8, 2500)));
    cluster.run(1000);
    ExecutorId victim =
        cluster.executors.values().stream()
            .filter(executor -> !executor.running().isEmpty())
            .findFirst()
            .orElseThrow()
            .profile()
            .id();
    cluster.crash(victim);
    awaitPhase(cluster, job, JobPhase.COMPLETED, 12_000);
    assertEquals(8, cluster.work.starts().size());
  }

  @Test
  void urgentWorkThatAGuaranteeCoversPreemptsOtherWorkWithinItsBound() {
    BatchCluster cluster = cluster();
    for (int i = 0; i < 16; i++) {
      cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(8, 1, 60_000)));
      cluster.run(20);
    }
    cluster.run(1000);
    String urgent = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(3, 8, 1000)));
    cluster.run(2700);
    long started =
        cluster.work.starts().stream().filter(run -> run.task().job().equals(urgent)).count();
    assertEquals(3, started);
  }

  @Test
  void anEndedJobIsForgottenAfterItsRetention() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    awaitPhase(cluster, job, JobPhase.COMPLETED, 3000);
    cluster.run(119_000);
    assertShown(cluster, job, JobPhase.COMPLETED);
    cluster.run(2000);
    assertInstanceOf(CallAnswer.NoSuchJob.class, cluster.status(job).orElseThrow());
  }

  @Test
  void aStoppingOwnerHandsOverAtOnce() {
    BatchCluster cluster = cluster();
    BatchCluster.Vm former = cluster.owner().orElseThrow();
    former.deliver(new BatchEvent.StopBegun());
    cluster.run(1000);
    assertTrue(former.core.handedOver());
    assertTrue(cluster.owner().filter(vm -> vm != former).isPresent());
  }

  @Test
  void allVmsLosePowerRightAfterAnAcceptanceAndTheJobIsKnown() {
    BatchCluster cluster = cluster();
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      jobs.add(cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(2, 8, 2000))));
    }
    cluster.runUntil("acceptance", 1000, () -> cluster.submissions.size() == 5);
    List.copyOf(cluster.vms.keySet()).forEach(id -> cluster.restart(id, 1300));
    cluster.run(1400);
    cluster.awaitOwner();
    for (String job : jobs) {
      awaitPhase(cluster, job, JobPhase.COMPLETED, 12_000);
    }
  }

  /** Executors that fail every run at once look idle and therefore attract more work. */
  @Test
  void jobsAreNotFailedByExecutorsThatFailEverything() {
    BatchCluster cluster = cluster();
    cluster.work.failAllOn(new ExecutorId("e0"));
    cluster.work.failAllOn(new ExecutorId("e5"));
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      jobs.add(cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.gang(2, 8, 1000))));
      cluster.run(300);
    }
    for (String job : jobs) {
      awaitPhase(cluster, job, JobPhase.COMPLETED, 10_000);
    }
  }

  /** Executors may be removed about two seconds after they announce that they leave. */
  @Test
  void workThatWouldNotEndInTimeMovesAwayFromALeavingExecutor() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(2, 8, 5000)));
    cluster.run(1000);
    ExecutorId leaving =
        cluster.executors.values().stream()
            .filter(executor -> !executor.running().isEmpty())
            .findFirst()
            .orElseThrow()
            .profile()
            .id();
    cluster.leave(leaving, 2000);
    cluster.in(2100, () -> cluster.crash(leaving));
    awaitPhase(cluster, job, JobPhase.COMPLETED, 7500);
  }

  @Test
  void aPreviousOwnerThatCannotReadOwnershipReportsNoOwner() {
    BatchCluster cluster = cluster();
    BatchCluster.Vm former = cluster.owner().orElseThrow();
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(2, 8, 9000)));
    cluster.run(500);
    cluster.faults.cutFromStore.add(former.id);
    cluster.runUntil("the loss", 6000, () -> !former.core.deciding());
    assertEquals(Optional.empty(), former.core.ownerHint());
  }

  /** An executor may become very slow while it still looks healthy. */
  @Test
  void workThatMakesNoProgressOnASlowExecutorIsRestartedElsewhere() {
    BatchCluster cluster = cluster();
    cluster.work.slowDown(new ExecutorId("e0"), 0.02);
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      jobs.add(cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(8, 1, 1500))));
    }
    for (String job : jobs) {
      awaitPhase(cluster, job, JobPhase.COMPLETED, 9000);
    }
  }

  /**
   * A VM repeats a submission at the next owner because the answer was lost. Guards against an
   * owner that answers 401 to the repeat, since the API key was removed meanwhile, although the job
   * is stored and runs.
   */
  @Test
  void aRepeatedSubmissionOfAStoredJobIsAcceptedThoughItsKeyWasRemoved() {
    BatchCluster cluster = cluster();
    Submission submission = Jobs.of(Jobs.tasks(1, 1, 500));
    String job = cluster.submit(BatchCluster.NORMAL, submission);
    cluster.run(50);
    cluster.configure(TestFixtures.withoutKeys(2));
    BatchCall repeated =
        new BatchCall.Submit(BatchCluster.NORMAL, BatchCluster.KEY, job, submission);
    long known = cluster.call(repeated).orElseThrow();
    long fresh =
        cluster
            .call(new BatchCall.Submit(BatchCluster.NORMAL, BatchCluster.KEY, "f", submission))
            .orElseThrow();
    cluster.run(50);
    assertEquals(new CallAnswer.Accepted(), cluster.answers.get(known));
    assertEquals(new CallAnswer.UnknownKey(), cluster.answers.get(fresh));
  }

  /**
   * Guards against a repeated cancel that is acknowledged because the job has ended in memory,
   * while the first cancel is not stored: the next owner would not know of it and start the next
   * step.
   */
  @Test
  void aRepeatedCancelIsNotAnsweredBeforeTheFirstIsStored() {
    BatchCluster cluster = cluster();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(2, 8, 9000)));
    cluster.run(500);
    cluster.faults.storeDown = true;
    BatchCall cancel = new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job);
    long first = cluster.call(cancel).orElseThrow();
    cluster.run(500);
    long second = cluster.call(cancel).orElseThrow();
    cluster.run(500);
    assertNull(cluster.answers.get(second));
    cluster.faults.storeDown = false;
    cluster.run(1500);
    assertEquals(new CallAnswer.Cancelled(), cluster.answers.get(first));
    assertEquals(new CallAnswer.Cancelled(), cluster.answers.get(second));
  }

  /** The estimate of an urgent gang is a twentieth of its work. */
  @Test
  void aGangWhoseEstimateIsFarTooLowIsNotMovedForIt() {
    BatchCluster cluster = cluster();
    for (int i = 0; i < 3; i++) {
      String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(4, 2, 400)));
      for (int member = 0; member < 4; member++) {
        cluster.work.setWorkMillis(new TaskName(job, 0, 0, member), 8000);
      }
    }
    cluster.run(9500);
    assertEquals(12, cluster.work.starts().size());
  }
}
