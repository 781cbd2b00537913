package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.List;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.model.job.JobId;
import org.fescuehook.wire.ControlRecord;
import org.junit.jupiter.api.Test;

class SnapshotTest {

  @Test
  void aReaderThatStartsFromASnapshotHasTheStateOfTheWholeLog() {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(2, "finish 900");
    s.result(s.submit(1, "finish 5"), 30);
    s.run(700);
    s.cluster.log.dropUntil(lastCovered(s));
    VirtualVm fresh = s.cluster.addVm("fresh");
    s.run(5);
    assertTrue(fresh.core.summary().current());
    s.invariants.checkSameState();
    assertEquals("FINISHED", s.result(job, 400));
  }

  @Test
  void aSnapshotIsPublishedBeforeRetentionRemovesTheLastOne() {
    Scenario s = new Scenario(3, 4);
    s.run(100);
    s.cluster.log.dropUntil(10);
    s.run(20);
    assertTrue(lastCovered(s) > 10);
    VirtualVm fresh = s.cluster.addVm("fresh");
    s.run(5);
    assertTrue(fresh.core.summary().current());
    s.invariants.checkSameState();
  }

  @Test
  void aSnapshotFollowedByRemovedRecordsIsNotUsedAndTheReaderDoesNotDecide() {
    Scenario s = new Scenario(2, 4);
    s.run(100);
    s.cluster.log.dropUntil(10);
    s.run(20);
    s.cluster.vms.forEach(vm -> s.cluster.kill(vm));
    s.run(1);
    long part = s.cluster.log.append(lastPart(s).toByteArray(), VirtualCluster.WALL_START);
    s.cluster.log.dropUntil(part);
    VirtualVm fresh = s.cluster.addVm("fresh");
    s.run(60);
    assertFalse(fresh.core.summary().current());
    assertTrue(fresh.appended.isEmpty());
  }

  @Test
  void aVmResumedAfterUnreadRecordsWereRemovedContinuesFromASnapshot() {
    Scenario s = new Scenario(3, 4);
    VirtualVm vm = s.nonOwner();
    s.cluster.pause(vm);
    vm.backlog.clear();
    s.run(700);
    s.cluster.log.dropUntil(lastCovered(s));
    s.cluster.resume(vm);
    s.run(5);
    assertTrue(vm.core.summary().current());
    s.invariants.checkSameState();
  }

  @Test
  void afterAnOutageLongerThanTheRetentionANewVmLoadsTheStateWithinSeconds() {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(2, "finish 900");
    s.untilRunning(job);
    s.cluster.log.down = true;
    s.run(400);
    s.cluster.log.dropUntil(s.cluster.log.next());
    s.cluster.kill(s.owner());
    VirtualVm fresh = s.cluster.addVm("fresh");
    s.run(10);
    s.cluster.log.down = false;
    s.run(10);
    assertTrue(fresh.core.summary().current());
    s.invariants.checkSameState();
    assertEquals("FINISHED", s.result(job, 600));
    assertEquals(1, s.job(job).attempt().number());
  }

  @Test
  void aVmWhosePendingRecordsWereRemovedBeforeItReadThemAcceptsRequestsAgain() {
    Scenario s = new Scenario(2, 4);
    VirtualVm vm = s.nonOwner();
    for (int i = 0; i < 40; i++) {
      s.cluster.ask(vm, TestDeclarations.gang(1, "finish 5"));
    }
    s.until(
        1, "appends in flight", x -> x.appends(vm, ControlRecord::hasJobSubmitted).size() >= 32);
    s.cluster.pause(vm);
    vm.backlog.clear();
    List<Runnable> buffered = vm.sendBuffer;
    s.run(1);
    buffered.forEach(Runnable::run);
    buffered.clear();
    s.run(700);
    s.cluster.log.dropUntil(lastCovered(s));
    s.cluster.resume(vm);
    s.run(60);
    assertInstanceOf(
        Answer.Accepted.class, s.cluster.answer(vm, TestDeclarations.gang(1, "finish 5")));
  }

  private static long lastCovered(Scenario s) {
    return lastPart(s).getSnapshotPart().getCoversUntil();
  }

  private static ControlRecord lastPart(Scenario s) {
    return s.cluster.vms.stream()
        .flatMap(vm -> vm.appended.stream())
        .filter(ControlRecord::hasSnapshotPart)
        .max(Comparator.comparingLong(r -> r.getSnapshotPart().getCoversUntil()))
        .orElseThrow();
  }
}
