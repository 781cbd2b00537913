package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.WorkerJudged;
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
  void aVmDelaysRequestsAboutAnUnreadJobAndDoesNotAnswerNotFoundWithoutTheLog() {
    Scenario s = new Scenario(3, 4);
    VirtualVm lateReader = s.nonOwner();
    lateReader.logUnreachable = true;
    JobId job =
        assertInstanceOf(
                Answer.Accepted.class,
                s.cluster.answer(s.owner(), TestDeclarations.gang(1, "finish 5")))
            .job();
    Answer withoutLog = s.cluster.answer(lateReader, new Request.Show(job, 0));
    assertEquals(
        RefusalReason.LOG_UNAVAILABLE, assertInstanceOf(Answer.Refused.class, withoutLog).reason());
    long ticket = s.cluster.ask(lateReader, new Request.Show(job, 0));
    lateReader.logUnreachable = false;
    s.run(1);
    assertInstanceOf(Answer.Document.class, lateReader.answers.get(ticket));
    Answer unknown = s.cluster.answer(lateReader, new Request.Show(new JobId("never"), 0));
    assertEquals(RefusalReason.NOT_FOUND, assertInstanceOf(Answer.Refused.class, unknown).reason());
  }

  @Test
  void aFailingPolicyStopsNeitherRunningGangsNorRequests() {
    Scenario s = new Scenario(3, 4);
    JobId job = s.submit(2, "finish 100");
    s.untilRunning(job);
    s.cluster.scheduler.failing = true;
    JobId waiting = s.submit(1, "finish 1");
    assertEquals("FINISHED", s.result(job, 110));
    s.cluster.scheduler.failing = false;
    assertEquals("FINISHED", s.result(waiting, 20));
  }

  @Test
  void requestsOfABurstBeyondTheQueueCapacityAreRefusedAsNotExecuted() {
    Scenario s = new Scenario(3, 4);
    VirtualVm vm = s.nonOwner();
    for (int i = 0; i < 1200; i++) {
      s.cluster.ask(vm, TestDeclarations.gang(1, "finish 1"));
    }
    s.run(8);
    Map<String, Long> kinds =
        vm.answers.values().stream()
            .map(answer -> answer instanceof Answer.Refused r ? r.reason().slug() : "accepted")
            .collect(Collectors.groupingBy(kind -> kind, Collectors.counting()));
    long acceptedCount =
        ControlLimits.MAX_QUEUED_REQUESTS + ControlLimits.MAX_PENDING_REQUEST_APPENDS;
    assertEquals(Map.of("accepted", acceptedCount, "queue-full", 1200 - acceptedCount), kinds);
    assertEquals(acceptedCount, s.appends(vm, ControlRecord::hasJobSubmitted).size());
  }

  @Test
  void aWorkerOnWhichJobsFailThatSucceedElsewhereIsQuarantined() {
    Scenario s = new Scenario(3, 4);
    s.cluster.workers.get(TestDeclarations.worker(0)).failing = true;
    JobId first = s.submit(1, "finish 100");
    s.until(
        10, "the first job failed on the worker", x -> x.job(first).snapshot().getFailures() == 1);
    JobId second = s.submit(1, "finish 100");
    assertEquals("FINISHED", s.result(first, 200));
    assertEquals("FINISHED", s.result(second, 200));
    s.run(5);
    assertEquals(
        List.of("worker-0"),
        s.invariants.observer().quarantines().stream().map(WorkerJudged::getWorker).toList());
    JobId third = s.submit(1, "finish 1");
    assertEquals("FINISHED", s.result(third, 20));
    assertEquals(0, s.job(third).snapshot().getFailures());
  }
}
