package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.request.RefusalReason;
import org.junit.jupiter.api.Test;

class ControlCoreTest {

  @Test
  void aGangJobRunsFromSubmissionToItsEnd() {
    VirtualCluster cluster = new VirtualCluster(3, 4);
    cluster.run(Duration.ofSeconds(2));
    VirtualVm vm = cluster.vms.get(1);
    Answer published = cluster.answer(vm, TestDeclarations.publish(-1, "4 3 first"));
    assertInstanceOf(Answer.Published.class, published);
    Answer accepted = cluster.answer(vm, TestDeclarations.gang(3, "finish 5"));
    JobId job = assertInstanceOf(Answer.Accepted.class, accepted).job();
    Answer shown = cluster.answer(cluster.vms.get(2), new Request.Show(job, 20_000));
    String json = assertInstanceOf(Answer.Document.class, shown).json();
    assertTrue(json.contains("\"state\":\"finished\""), json);
    assertEquals(1, cluster.vms.stream().filter(v -> v.core.owner()).count());
  }

  @Test
  void aVmThatHasNotReadAJobYetWaitsForItAndNeverDeniesItWithoutTheLog() {
    Scenario s = new Scenario(3, 4);
    VirtualVm late = s.standBy();
    late.cutFromLog = true;
    JobId job =
        assertInstanceOf(
                Answer.Accepted.class,
                s.cluster.answer(s.owner(), TestDeclarations.gang(1, "finish 5")))
            .job();
    Answer cut = s.cluster.answer(late, new Request.Show(job, 0));
    assertEquals(
        RefusalReason.LOG_UNAVAILABLE, assertInstanceOf(Answer.Refused.class, cut).reason());
    long ticket = s.cluster.ask(late, new Request.Show(job, 0));
    late.cutFromLog = false;
    s.run(1);
    assertInstanceOf(Answer.Document.class, late.answers.get(ticket));
    Answer unknown = s.cluster.answer(late, new Request.Show(new JobId("never"), 0));
    assertEquals(
        RefusalReason.NOT_FOUND, assertInstanceOf(Answer.Refused.class, unknown).reason());
  }

  @Test
  void aFaultOfThePolicyStopsNoRunningGangAndNoRequest() {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(2, "finish 100");
    s.untilRunning(job);
    s.cluster.scheduler.failing = true;
    JobId waiting = s.submit(1, "finish 1");
    assertEquals("FINISHED", s.result(job, 110));
    s.cluster.scheduler.failing = false;
    assertEquals("FINISHED", s.result(waiting, 20));
  }
}
