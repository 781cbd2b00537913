package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.VirtualCluster.AppendFault;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.request.ExecutionStatus;
import org.fescuehook.model.request.RefusalReason;
import org.junit.jupiter.api.Test;

class OutageTest {

  @Test
  void gangsKeepRunningDuringATenMinuteLogOutageAndNoNewOneStarts() {
    Scenario s = new Scenario(3, 4);
    JobId running = s.submit(2, "finish 900");
    s.untilRunning(running);
    JobId ending = s.submit(1, "finish 300");
    s.untilRunning(ending);
    JobId waiting = s.submit(2, "finish 5");
    s.cluster.log.down = true;
    s.run(5);
    Answer refused = s.cluster.answer(s.nonOwner(), TestDeclarations.gang(1, "finish 1"));
    Answer.Refused refusal = assertInstanceOf(Answer.Refused.class, refused);
    assertEquals(RefusalReason.LOG_UNAVAILABLE, refusal.reason());
    assertEquals(ExecutionStatus.NO, refusal.reason().executionStatus());
    assertTrue(refusal.retryAfterSeconds() > 0);
    s.run(595);
    assertEquals(2, s.running(running));
    assertEquals(0, s.running(waiting));
    s.cluster.log.down = false;
    assertEquals("FINISHED", s.result(ending, 20));
    assertEquals("FINISHED", s.result(waiting, 30));
    assertEquals("FINISHED", s.result(running, 400));
    assertEquals(1, s.job(running).attempt().number());
    assertEquals(1, s.job(ending).attempt().number());
  }

  @Test
  void anotherVmRenewsLeasesIfTheOwnerDiesDuringAnOutageAndAdoptsTheGangsAfterIt() {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(3, "finish 900");
    s.untilRunning(job);
    s.cluster.log.down = true;
    s.run(60);
    VirtualVm oldOwner = s.owner();
    s.cluster.kill(oldOwner);
    s.run(540);
    assertEquals(3, s.running(job));
    long renewingVms =
        s.cluster.vms.stream()
            .filter(
                vm -> vm.logEvents.stream().anyMatch(note -> note.startsWith("RENEWING_FOR_OWNER")))
            .count();
    assertEquals(1, renewingVms);
    s.cluster.log.down = false;
    long outageEndNanos = s.cluster.now();
    s.until(10, "take-over", x -> x.cluster.owner().filter(vm -> vm != oldOwner).isPresent());
    System.out.printf(
        "take-over after an outage: %d ms of virtual time%n",
        (s.cluster.now() - outageEndNanos) / VirtualCluster.MILLI);
    assertEquals("FINISHED", s.result(job, 400));
    assertEquals(1, s.job(job).attempt().number());
  }

  @Test
  void afterAnOutageTheOwnerStaysOwnerAndOtherVmsDoNotClaim() {
    Scenario s = new Scenario(7, 4);
    VirtualVm oldOwner = s.owner();
    s.cluster.log.down = true;
    s.run(120);
    s.cluster.log.down = false;
    long before = s.cluster.log.next();
    s.run(10);
    assertEquals(oldOwner, s.owner());
    long appends = s.cluster.log.next() - before;
    assertTrue(appends < 30, () -> appends + " appends in the first 10 s");
  }

  @Test
  void aGangThatLosesAMemberDuringAnOutageStopsCompletely() {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(3, "finish 900");
    s.untilRunning(job);
    s.run(30);
    s.cluster.log.down = true;
    s.run(30);
    s.cluster.workers.get(TestDeclarations.worker(0)).die();
    s.until(70, "no member runs", x -> x.running(job) == 0);
    s.cluster.log.down = false;
    s.until(60, "a second attempt", x -> x.job(job).attempt().number() == 2);
  }

  @Test
  void aGangWithAnExpiredLeaseIsReleasedAtTheNextRenewalDuringAnOutage() {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(3, "finish 900");
    s.untilRunning(job);
    s.run(60);
    s.cluster.log.down = true;
    s.run(30);
    FakeWorker worker = s.cluster.workers.get(TestDeclarations.worker(0));
    worker.die();
    worker.dead = false;
    s.until(9, "no member runs", x -> x.running(job) == 0);
  }

  @Test
  void noVmAppendsInATightLoopWhileEveryAppendFailsAtOnce() {
    Scenario s = new Scenario(3, 4);
    s.cluster.appendMillis = 0;
    s.cluster.appendFault = (vm, r) -> AppendFault.REFUSED;
    long ticket = s.cluster.ask(s.nonOwner(), TestDeclarations.gang(1, "finish 1"));
    long before = s.cluster.vms.stream().mapToLong(vm -> vm.appended.size()).sum();
    s.run(30);
    long appends = s.cluster.vms.stream().mapToLong(vm -> vm.appended.size()).sum() - before;
    assertTrue(appends < 3 * 30 * 10, () -> appends + " appends in 30 s");
    Answer answer =
        s.cluster.vms.stream()
            .filter(vm -> vm.answers.containsKey(ticket))
            .map(vm -> vm.answers.get(ticket))
            .findFirst()
            .orElseThrow();
    assertEquals(RefusalReason.LOG_UNAVAILABLE, ((Answer.Refused) answer).reason());
    s.cluster.appendFault = (vm, r) -> AppendFault.NONE;
    assertEquals("FINISHED", s.result(s.submit(1, "finish 1"), 20));
  }

  @Test
  void aSubmissionThatTookEffectIsAcceptedOnceAlthoughItsReplyIsLost() {
    Scenario s = new Scenario(3, 4);
    s.cluster.appendFault =
        (vm, r) -> r.hasJobSubmitted() ? AppendFault.REPLY_LOST : AppendFault.NONE;
    JobId job = s.submit(1, "finish 1");
    s.run(5);
    assertEquals(1, submissions(s));
    assertEquals("FINISHED", s.result(job, 10));
  }

  @Test
  void aLostSubmissionIsAppendedAgainOnceItIsKnownToBeAbsent() {
    Scenario s = new Scenario(3, 4);
    boolean[] lost = {false};
    s.cluster.appendFault =
        (vm, r) -> {
          boolean lose = r.hasJobSubmitted() && !lost[0];
          lost[0] = lost[0] || lose;
          return lose ? AppendFault.RECORD_LOST : AppendFault.NONE;
        };
    JobId job = s.submit(1, "finish 1");
    assertEquals("FINISHED", s.result(job, 10));
    assertEquals(2, submissions(s));
  }

  @Test
  void aDelayedSubmissionThatWasAppendedAgainTakesEffectOnce() {
    Scenario s = new Scenario(3, 4);
    boolean[] late = {false};
    s.cluster.appendFault =
        (vm, r) -> {
          boolean first = r.hasJobSubmitted() && !late[0];
          late[0] = late[0] || first;
          return first ? AppendFault.LATE : AppendFault.NONE;
        };
    JobId job = s.submit(1, "finish 1");
    s.run(10);
    assertEquals("FINISHED", s.result(job, 10));
    assertEquals(1, s.cluster.workers.values().stream().mapToLong(w -> w.started.size()).sum());
  }

  @Test
  void aSubmissionInFlightWhenAnOutageBeginsIsNotReportedAsNotExecuted() {
    Scenario s = new Scenario(3, 4);
    VirtualVm vm = s.nonOwner();
    s.cluster.appendFault =
        (v, r) -> r.hasJobSubmitted() ? AppendFault.REPLY_LOST : AppendFault.NONE;
    long ticket = s.cluster.ask(vm, TestDeclarations.gang(1, "finish 1"));
    s.cluster.run(java.time.Duration.ofMillis(4));
    s.cluster.log.down = true;
    s.run(20);
    Answer.Refused refused = assertInstanceOf(Answer.Refused.class, vm.answers.get(ticket));
    assertEquals(RefusalReason.OUTCOME_UNKNOWN, refused.reason());
    s.cluster.log.down = false;
    s.run(20);
    assertEquals(1, s.sent(s.owner(), WorkerCommand.Start.class));
  }

  private static long submissions(Scenario s) {
    return s.cluster.vms.stream()
        .flatMap(vm -> vm.appended.stream())
        .filter(r -> r.hasJobSubmitted())
        .count();
  }
}
