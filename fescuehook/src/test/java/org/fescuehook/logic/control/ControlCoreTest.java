package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.model.job.JobId;
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
}
