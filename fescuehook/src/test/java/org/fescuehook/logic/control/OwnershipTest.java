package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.VirtualCluster.AppendFault;
import org.fescuehook.logic.control.record.DecodedRecord;
import org.fescuehook.logic.control.record.RecordCodec;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.job.JobId;
import org.fescuehook.wire.ControlRecord;
import org.junit.jupiter.api.Test;

class OwnershipTest {

  @Test
  void aDeadOwnerIsReplacedWithinThreeSeconds() {
    List<Long> millis = new ArrayList<>();
    for (int offset = 0; offset < 20; offset++) {
      Scenario s = new Scenario(7, 2);
      s.cluster.run(java.time.Duration.ofMillis(37L * offset));
      long died = s.cluster.now();
      s.cluster.kill(s.owner());
      s.until(10, "a new owner decides", x -> x.cluster.owner().isPresent());
      millis.add((s.cluster.now() - died) / VirtualCluster.MILLI);
    }
    Collections.sort(millis);
    System.out.printf(
        "take-over: least %d, median %d, most %d ms of virtual time%n",
        millis.getFirst(), millis.get(millis.size() / 2), millis.getLast());
    assertTrue(millis.getLast() < 3000, () -> "take-over times " + millis);
  }

  @Test
  void anOwnerThatHandsOverIsReplacedAtOnce() {
    Scenario s = new Scenario(3, 2);
    VirtualVm oldOwner = s.owner();
    s.cluster.answer(oldOwner, new Request.HandOver());
    s.until(1, "another VM owns", x -> x.cluster.owner().filter(vm -> vm != oldOwner).isPresent());
    s.run(30);
    assertNotEquals(oldOwner, s.owner());
  }

  @Test
  void theFirstOfTwoConcurrentClaimsInTheLogWinsAndTheLoserAppendsNoDecision() {
    Scenario s = new Scenario(3, 2);
    VirtualVm oldOwner = s.owner();
    s.cluster.vms.forEach(vm -> vm.peersUnreachable = true);
    s.run(1);
    s.cluster.kill(oldOwner);
    s.run(4);
    List<VirtualVm> claimants =
        s.cluster.vms.stream()
            .filter(vm -> vm != oldOwner && !s.appends(vm, ControlRecord::hasOwnerClaim).isEmpty())
            .toList();
    assertEquals(2, claimants.size());
    assertEquals(1, s.cluster.vms.stream().filter(vm -> !vm.dead && vm.core.owner()).count());
    assertEquals(firstClaimAfter(s, oldOwner), s.owner().id.value());
    VirtualVm loser = claimants.stream().filter(vm -> !vm.core.owner()).findFirst().orElseThrow();
    assertTrue(s.appends(loser, r -> r.getEpochPlusOne() != 0).isEmpty());
  }

  private static String firstClaimAfter(Scenario s, VirtualVm oldOwner) {
    return s.cluster.log.read(0, Integer.MAX_VALUE).records().stream()
        .map(record -> RecordCodec.decode(record.data()))
        .map(decoded -> ((DecodedRecord.Known) decoded).record())
        .filter(r -> r.hasOwnerClaim() && r.getOwnerClaim().getBasedOnEpochPlusOne() != 0)
        .map(ControlRecord::getWriter)
        .filter(writer -> !writer.equals(oldOwner.id.value()))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void anOwnerResumedAfterATakeOverSendsNothingToRunningGangs() {
    Scenario s = new Scenario(3, 2);
    JobId first = s.submit(2, "finish 300");
    s.untilRunning(first);
    VirtualVm oldOwner = s.owner();
    s.cluster.pause(oldOwner);
    s.until(
        10,
        "take-over",
        x -> x.cluster.vms.stream().anyMatch(vm -> vm != oldOwner && vm.core.owner()));
    s.cancel(first);
    assertEquals("CANCELLED", s.result(first, 10));
    JobId second = s.submit(2, "finish 60");
    s.untilRunning(second);
    int sent = oldOwner.sent.size();
    int appended = oldOwner.appended.size();
    s.cluster.resume(oldOwner);
    s.run(5);
    assertFalse(oldOwner.core.owner());
    assertEquals(sent, oldOwner.sent.size(), "commands of the resumed VM");
    assertEquals(appended, oldOwner.appended.size(), "appends of the resumed VM");
    assertEquals("FINISHED", s.result(second, 70));
    assertEquals(1, s.job(second).attempt().number());
  }

  @Test
  void aStopThatAPausedOwnerAppendsAfterATakeOverHasNoEffect() {
    Scenario s = new Scenario(3, 2);
    JobId job = s.submit(2, "finish 60");
    s.untilRunning(job);
    VirtualVm oldOwner = s.owner();
    s.cluster.scheduler.reclaim.add(s.job(job).attempt());
    s.until(
        5, "stop appended", x -> !x.appends(oldOwner, ControlRecord::hasAttemptStopping).isEmpty());
    s.cluster.pause(oldOwner);
    s.cluster.scheduler.reclaim.clear();
    assertFalse(s.job(job).stopping());
    s.run(10);
    s.cluster.resume(oldOwner);
    assertEquals("FINISHED", s.result(job, 70));
    assertEquals(1, s.job(job).attempt().number());
  }

  @Test
  void aVmDoesNotClaimOwnershipAfterADecisionOfANewerVersion() {
    Scenario s = new Scenario(2, 2);
    VirtualVm oldOwner = s.owner();
    byte[] newer =
        ControlRecord.newBuilder()
            .setVersion(99)
            .setWriter(oldOwner.id.value())
            .setIncarnation("newer")
            .setSequence(1)
            .setEpochPlusOne(s.invariants.observer().epoch() + 1)
            .build()
            .toByteArray();
    s.cluster.log.append(newer, VirtualCluster.WALL_START);
    s.run(1);
    s.cluster.kill(oldOwner);
    s.run(20);
    VirtualVm other = s.cluster.vms.get(1);
    assertTrue(
        s.appends(other, ControlRecord::hasOwnerClaim).stream()
            .allMatch(r -> r.getOwnerClaim().getBasedOnEpochPlusOne() == 0));
    assertTrue(other.logEvents.stream().anyMatch(note -> note.startsWith("NEWER_RECORD")));
  }

  @Test
  void corruptAndForeignRecordsAreSkippedAndCounted() {
    Scenario s = new Scenario(2, 2);
    s.cluster.log.append(new byte[] {(byte) 0xff, 1, 2, 3}, VirtualCluster.WALL_START);
    s.cluster.log.append(new byte[0], VirtualCluster.WALL_START);
    s.run(1);
    assertEquals(2, s.owner().core.summary().skippedRecords());
    assertEquals("FINISHED", s.result(s.submit(1, "finish 1"), 20));
  }

  @Test
  void anIdleOwnerAppendsOnlyHeartbeatsAndOtherVmsAppendNothing() {
    Scenario s = new Scenario(7, 2);
    s.run(30);
    long before = s.cluster.log.next();
    s.run(60);
    double perSecond = (s.cluster.log.next() - before) / 60.0;
    System.out.printf("idle: %.2f appends per second over 7 VMs%n", perSecond);
    assertTrue(perSecond <= 2.1, () -> perSecond + " appends per second");
  }

  @Test
  void aSlowLogCausesNoTakeOverWhileTheOwnerIsHeardAndJobsStillRun() {
    Scenario s = new Scenario(3, 2);
    VirtualVm oldOwner = s.owner();
    s.cluster.appendMillis = 3000;
    JobId job = s.submit(2, "finish 5");
    assertEquals("FINISHED", s.result(job, 60));
    assertEquals(1, s.job(job).attempt().number());
    s.run(60);
    assertEquals(oldOwner, s.owner());
    assertTrue(oldOwner.core.summary().unreadAppends() <= 2);
  }

  @Test
  void aClaimWhoseReplyIsLostTakesEffectOnce() {
    Scenario s = new Scenario(2, 2);
    s.cluster.appendFault =
        (vm, r) -> r.hasOwnerClaim() ? AppendFault.REPLY_LOST : AppendFault.NONE;
    s.cluster.kill(s.owner());
    s.run(10);
    VirtualVm owner = s.owner();
    assertEquals(
        1,
        s.appends(owner, r -> r.hasOwnerClaim()).stream()
            .filter(r -> r.getOwnerClaim().getBasedOnEpochPlusOne() != 0)
            .count());
    assertEquals(0, s.sent(owner, WorkerCommand.Start.class));
  }
}
