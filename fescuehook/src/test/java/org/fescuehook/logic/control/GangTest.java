package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.fescuehook.logic.control.VirtualCluster.AppendFault;
import org.fescuehook.logic.control.VirtualCluster.SendFault;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.wire.AttemptResult;
import org.fescuehook.wire.StopReason;
import org.junit.jupiter.api.Test;

class GangTest {
  private static final ControlPreferences PREFERENCES = ControlPreferences.DEFAULT;

  @Test
  void aNewOwnerStartsTheMembersThatADeadOwnerDidNotReach() {
    Scenario s = new Scenario(3, 4);
    VirtualVm oldOwner = s.owner();
    s.cluster.sendFault =
        (vm, c) ->
            vm == oldOwner && c instanceof WorkerCommand.Start start && start.member() > 0
                ? SendFault.COMMAND_LOST
                : SendFault.NONE;
    JobId job = s.submit(4, "finish 30");
    s.until(5, "one member runs", x -> x.running(job) == 1);
    s.cluster.kill(oldOwner);
    s.until(6, "all members run", x -> x.running(job) == 4);
    assertEquals("FINISHED", s.result(job, 60));
    assertEquals(1, s.job(job).attempt().number());
  }

  @Test
  void aNewOwnerStartsAGangThatADeadOwnerCommittedAndDidNotStart() {
    Scenario s = new Scenario(3, 4);
    VirtualVm oldOwner = s.owner();
    s.cluster.sendFault =
        (vm, c) ->
            vm == oldOwner && c instanceof WorkerCommand.Start
                ? SendFault.COMMAND_LOST
                : SendFault.NONE;
    JobId job = s.submit(2, "finish 30");
    s.until(5, "committed", x -> x.job(job).committed());
    s.cluster.kill(oldOwner);
    s.until(6, "all members run", x -> x.running(job) == 2);
    assertEquals(1, s.job(job).attempt().number());
  }

  @Test
  void anAttemptThatADeadOwnerDidNotCommitEndsAsNeverStartedAndTheJobIsRetried() {
    Scenario s = new Scenario(3, 4);
    VirtualVm oldOwner = s.owner();
    s.cluster.sendFault =
        (vm, c) ->
            vm == oldOwner && c instanceof WorkerCommand.Grant
                ? SendFault.REPLY_LOST
                : SendFault.NONE;
    JobId job = s.submit(2, "finish 5");
    s.until(2, "planned", x -> x.job(job).live());
    s.cluster.kill(oldOwner);
    assertEquals("FINISHED", s.result(job, 60));
    assertTrue(s.job(job).snapshot().getNeverStarted() >= 1);
    assertEquals(0, s.sent(oldOwner, WorkerCommand.Start.class));
  }

  @Test
  void afterAWorkerDiesTheOtherMembersStopWithinRenewalIntervalPlusLeaseTtlAndTheJobIsRetried() {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(3, "finish 200");
    s.untilRunning(job);
    s.run(60);
    s.cluster.workers.get(TestDeclarations.worker(1)).die();
    assertEquals("FINISHED", s.result(job, 600));
    long boundNanos = PREFERENCES.leaseTtl().plus(PREFERENCES.renewInterval()).toNanos();
    long longestNanos = s.invariants.longestPartialGangNanos;
    System.out.printf("worker dead: partial gang for %d ms%n", longestNanos / VirtualCluster.MILLI);
    assertTrue(longestNanos <= boundNanos, () -> longestNanos / VirtualCluster.MILLI + " ms");
    assertEquals(2, s.job(job).attempt().number());
  }

  @Test
  void afterALeaseExpiresTheOtherLeasesAreReleasedAtTheNextRenewal() {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(3, "finish 200");
    s.untilRunning(job);
    s.run(60);
    FakeWorker worker = s.cluster.workers.get(TestDeclarations.worker(1));
    worker.die();
    worker.dead = false;
    s.until(9, "no member runs", x -> x.running(job) == 0);
    assertEquals("FINISHED", s.result(job, 300));
  }

  @Test
  void aCancellationDuringTheStartLeavesNoTaskAndNoLease() {
    for (int millis = 0; millis < 60; millis += 2) {
      Scenario s = new Scenario(3, 4);
      JobId job = s.submit(4, "finish 60");
      s.cluster.run(Duration.ofMillis(millis));
      s.cancel(job);
      assertEquals("CANCELLED", s.result(job, 30));
      s.run(1);
      assertEquals(0, s.held(), "leases after a cancellation at " + millis + " ms");
    }
  }

  @Test
  void aStoppedAttemptWhoseReleaseRepliesAreLostEndsOnlyOnceTheWorkersConfirm() {
    Scenario s = new Scenario(3, 2);
    JobId first = s.submit(2, "finish 600");
    s.untilRunning(first);
    s.cluster.sendFault =
        (vm, c) -> c instanceof WorkerCommand.Release ? SendFault.REPLY_LOST : SendFault.NONE;
    s.cancel(first);
    s.run(10);
    assertTrue(s.job(first).live(), "ended without confirmation of the workers");
    s.cluster.sendFault = (vm, c) -> SendFault.NONE;
    assertEquals("CANCELLED", s.result(first, 5));
  }

  @Test
  void aGangWithAMemberThatDoesNotStartIsStoppedAndRetried() {
    Scenario s = new Scenario(3, 4);
    s.cluster.sendFault =
        (vm, c) ->
            c instanceof WorkerCommand.Start start
                    && start.attempt().endsWith(".1")
                    && start.member() == 1
                ? SendFault.COMMAND_LOST
                : SendFault.NONE;
    JobId job = s.submit(2, "finish 20");
    assertEquals("FINISHED", s.result(job, 60));
    assertEquals(2, s.job(job).attempt().number());
    assertTrue(s.invariants.longestPartialGangNanos < Duration.ofSeconds(6).toNanos());
  }

  @Test
  void aGangWhoseLeaseAWorkerRefusesIsRetriedOnOtherWorkers() {
    Scenario s = new Scenario(3, 4);
    s.cluster.workers.get(TestDeclarations.worker(0)).refusing = true;
    JobId job = s.submit(3, "finish 5");
    assertEquals("FINISHED", s.result(job, 20));
    assertEquals(2, s.job(job).attempt().number());
    assertFalse(s.job(job).workers().contains(TestDeclarations.worker(0)));
    assertEquals(0, s.held());
  }

  @Test
  void aBorrowerIsRequestedToCheckpointBeforeItIsStopped() {
    Scenario s = new Scenario(3, 2);
    JobId job = s.submit(2, "finish 100");
    s.untilRunning(job);
    s.run(20);
    s.cluster.scheduler.reclaim.add(s.job(job).attempt());
    s.until(5, "the attempt ended", x -> x.job(job).snapshot().hasEnded());
    JobState ended = s.job(job);
    assertEquals(AttemptResult.ATTEMPT_RESULT_STOPPED, ended.snapshot().getEnded().getResult());
    assertTrue(ended.snapshot().getEnded().getCheckpointed());
    assertTrue(
        ended.snapshot().getKeptSeconds() >= 19, () -> "" + ended.snapshot().getKeptSeconds());
  }

  @Test
  void aBorrowerThatIgnoresTheCheckpointIsStoppedAfterItsNoticePeriod() {
    Scenario s = new Scenario(3, 2);
    s.cluster.workers.get(TestDeclarations.worker(1)).ignoresCheckpoint = true;
    JobId job = s.submit(2, "finish 100");
    s.untilRunning(job);
    s.cluster.scheduler.reclaim.add(s.job(job).attempt());
    s.run(4);
    assertTrue(s.job(job).stopping());
    s.until(3, "the attempt ended", x -> x.job(job).snapshot().hasEnded());
    assertFalse(s.job(job).snapshot().getEnded().getCheckpointed());
  }

  @Test
  void aFailedMemberStopsTheGangAndTheJobFailsAfterItsMaximumAttempts() {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(1, "fail 3");
    assertEquals("FAILED", s.result(job, 120));
    assertEquals(3, s.job(job).snapshot().getFailures());
    assertEquals(
        StopReason.STOP_REASON_MEMBER_FAILED, s.job(job).snapshot().getEnded().getReason());
  }

  @Test
  void aFinishedGangIsNotRunAgainIfItsEndRecordIsLostAndTheOwnerDies() {
    Scenario s = new Scenario(3, 2);
    JobId job = s.submit(2, "finish 20");
    s.untilRunning(job);
    VirtualVm oldOwner = s.owner();
    s.cluster.appendFault =
        (vm, r) ->
            vm == oldOwner && r.hasAttemptEnded() ? AppendFault.RECORD_LOST : AppendFault.NONE;
    s.until(30, "end appended", x -> !x.appends(oldOwner, r -> r.hasAttemptEnded()).isEmpty());
    s.cluster.run(Duration.ofMillis(20));
    s.cluster.kill(oldOwner);
    assertEquals("FINISHED", s.result(job, 30));
    assertEquals(1, s.job(job).attempt().number());
  }

  @Test
  void aJobOnASilentWorkerIsNotStartedAgainWhileAnIsolatedOwnerMayRenewItsLease() {
    assertNotStartedAgain(false);
  }

  @Test
  void anIsolatedOwnerThatIsNoLongerListedMayStillRenewItsLeases() {
    assertNotStartedAgain(true);
  }

  private static void assertNotStartedAgain(boolean unlisted) {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(1, "finish 3000");
    s.untilRunning(job);
    VirtualVm oldOwner = s.owner();
    oldOwner.unlisted = unlisted;
    oldOwner.logUnreachable = true;
    oldOwner.peersUnreachable = true;
    s.cluster.sendFault = (vm, c) -> vm == oldOwner ? SendFault.NONE : SendFault.COMMAND_LOST;
    s.run(600);
    assertEquals(1, s.running(job), "the isolated owner renews");
    assertEquals(1, s.job(job).attempt().number());
    oldOwner.logUnreachable = false;
    oldOwner.peersUnreachable = false;
    oldOwner.unlisted = false;
    s.cluster.sendFault = (vm, c) -> SendFault.NONE;
    s.until(60, "stopped", x -> x.job(job).attempt().number() == 2 || x.job(job).waiting());
  }
}
