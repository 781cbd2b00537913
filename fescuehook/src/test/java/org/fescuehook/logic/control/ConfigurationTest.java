package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.VirtualCluster.AppendFault;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.ConfigurationPublished;
import org.fescuehook.wire.ControlRecord;
import org.junit.jupiter.api.Test;

class ConfigurationTest {

  private static Answer publish(Scenario s, int vm, long base, String text) {
    return s.cluster.answer(s.cluster.vms.get(vm), TestDeclarations.publish(base, text));
  }

  @Test
  void oneOfTwoConcurrentPublicationsWinsAndTheOtherGetsAConflictThatNamesTheWinner() {
    Scenario s = new Scenario(3, 4);
    long base = s.invariants.observer().revision();
    VirtualVm a = s.cluster.vms.get(0);
    VirtualVm b = s.cluster.vms.get(1);
    long first = s.cluster.ask(a, TestDeclarations.publish(base, "4 3 left"));
    long second = s.cluster.ask(b, TestDeclarations.publish(base, "4 3 right"));
    s.run(1);
    Answer left = a.answers.get(first);
    Answer right = b.answers.get(second);
    boolean leftWon = left instanceof Answer.Published;
    String winner = leftWon ? "operator of 4 3 left" : "operator of 4 3 right";
    Answer.Published won = assertInstanceOf(Answer.Published.class, leftWon ? left : right);
    assertEquals(new Answer.Conflict(won.revision(), winner), leftWon ? right : left);
    for (VirtualVm vm : s.cluster.vms) {
      assertEquals(won.revision(), vm.core.summary().revision());
    }
  }

  @Test
  void aPublicationBasedOnAnOldRevisionIsAConflict() {
    Scenario s = new Scenario(3, 4);
    long base = s.invariants.observer().revision();
    publish(s, 0, base, "4 3 second");
    Answer answer = publish(s, 1, base, "4 3 third");
    assertInstanceOf(Answer.Conflict.class, answer);
  }

  @Test
  void publishingTheSameDeclarationsAgainAppendsNothing() {
    Scenario s = new Scenario(3, 4);
    long base = s.invariants.observer().revision();
    long before = s.cluster.log.next();
    assertEquals(new Answer.Published(base), publish(s, 1, base, "4 3 first"));
    assertEquals(new Answer.Published(base), publish(s, 2, -1, "4 3 first"));
    assertTrue(s.cluster.log.next() - before <= 1, "a record was appended");
  }

  @Test
  void invalidDeclarationsAreRefusedAndTheConfigurationStaysInForce() {
    Scenario s = new Scenario(3, 4);
    long base = s.invariants.observer().revision();
    Answer answer = publish(s, 1, base, "bad text");
    Answer.Refused refused = assertInstanceOf(Answer.Refused.class, answer);
    assertEquals(RefusalReason.BAD_REQUEST, refused.reason());
    assertEquals(base, s.invariants.observer().revision());
  }

  @Test
  void aNewVmPutsOnlyTheLastConfigurationInForce() {
    Scenario s = new Scenario(3, 4);
    for (int i = 0; i < 5; i++) {
      publish(s, 0, s.invariants.observer().revision(), "4 3 change " + i);
    }
    VirtualVm fresh = s.cluster.addVm("fresh");
    s.run(2);
    assertEquals(List.of(s.invariants.observer().revision()), fresh.revisions);
  }

  @Test
  void aVmResumedAfterAPausePutsNoOutdatedConfigurationInForce() {
    Scenario s = new Scenario(3, 4);
    VirtualVm vm = s.nonOwner();
    s.cluster.pause(vm);
    int owner = s.cluster.vms.indexOf(s.owner());
    publish(s, owner, s.invariants.observer().revision(), "4 3 second");
    publish(s, owner, s.invariants.observer().revision(), "4 3 third");
    s.cluster.resume(vm);
    s.run(2);
    assertEquals(s.invariants.observer().revision(), vm.revisions.getLast());
    assertEquals(2, vm.revisions.size());
  }

  @Test
  void aPublicationWhoseReplyIsLostIsAnsweredOnceItIsReadBack() {
    Scenario s = new Scenario(3, 4);
    s.cluster.appendFault =
        (vm, r) -> r.hasConfigurationPublished() ? AppendFault.REPLY_LOST : AppendFault.NONE;
    Answer answer = publish(s, 1, s.invariants.observer().revision(), "4 3 second");
    assertEquals(new Answer.Published(s.invariants.observer().revision()), answer);
  }

  @Test
  void aConfigurationThatNoVmCanParseNeitherStopsNorStartsGangs() {
    Scenario s = new Scenario(3, 4);
    JobId running = s.submit(2, "finish 100");
    s.untilRunning(running);
    ConfigurationPublished unreadable =
        ConfigurationPublished.newBuilder()
            .setBaseRevisionPlusOne(s.invariants.observer().revision() + 1)
            .setDeclarations("bad")
            .build();
    ControlRecord record =
        ControlRecord.newBuilder()
            .setVersion(1)
            .setWriter("newer")
            .setIncarnation("newer")
            .setSequence(1)
            .setConfigurationPublished(unreadable)
            .build();
    s.cluster.log.append(record.toByteArray(), VirtualCluster.WALL_START);
    s.run(60);
    assertEquals(2, s.running(running));
    JobId waiting = s.submit(1, "finish 1");
    s.run(10);
    assertTrue(s.job(waiting).waiting());
    publish(s, 0, s.invariants.observer().revision(), "4 3 second");
    assertEquals("FINISHED", s.result(waiting, 20));
    assertEquals("FINISHED", s.result(running, 60));
    assertEquals(1, s.job(running).attempt().number());
  }
}
