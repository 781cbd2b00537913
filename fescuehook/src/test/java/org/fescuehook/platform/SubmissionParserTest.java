package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.fleet.RackId;
import org.junit.jupiter.api.Test;

class SubmissionParserTest {

  private static Submission parse(String json) throws MalformedMessageException {
    return SubmissionParser.parse(json.getBytes(StandardCharsets.UTF_8));
  }

  private static void assertMalformed(String json) {
    assertThrows(MalformedMessageException.class, () -> parse(json), json);
  }

  @Test
  void everyFieldOfAStepIsRead() throws Exception {
    Submission job =
        parse(
            """
            {"spec":"s","steps":[{"count":1,"cpu":1},{"count":4,"cpu":500,"memMb":256,"gpu":2,
            "estimateMs":900,"affinity":"r1-3","requirements":"a","antiAffinity":2,"gang":true,
            "sameRack":true,"checkpointing":true,"dependsOn":[0],"image":"i"}]}
            """);

    BatchStep step = job.steps().get(1);
    assertEquals(new ResourceVector(500, 256, 2), step.demand());
    assertEquals(4, step.count());
    assertEquals(900, step.estimateMillis());
    assertEquals(List.of(0), step.dependsOn());
    assertEquals(
        new BatchStep.PlacementRule(true, Optional.of("a"), Optional.of(new RackId("r1-3")), 2),
        step.placement());
    assertTrue(step.checkpointing() && step.gang());
  }

  @Test
  void missingFieldsAreZeroFalseOrEmpty() throws Exception {
    BatchStep step = parse("{\"spec\":\"s\",\"steps\":[{\"count\":1}]}").steps().getFirst();

    assertEquals(ResourceVector.NONE, step.demand());
    assertEquals(BatchStep.PlacementRule.ANYWHERE, step.placement());
    assertTrue(!step.gang() && !step.checkpointing());
  }

  @Test
  void aRepeatedJobHasASchedule() throws Exception {
    Submission job =
        parse("{\"steps\":[{\"count\":1}],\"repeatCount\":3,\"startAtMs\":1000,\"intervalMs\":50}");

    assertEquals(Optional.of(new Submission.Schedule(1000, 50, 3)), job.schedule());
    assertEquals(1100, job.schedule().orElseThrow().dueMillis(2));
  }

  @Test
  void aMalformedSubmissionIsRejected() {
    assertMalformed("");
    assertMalformed("[]");
    assertMalformed("{");
    assertMalformed("{\"spec\":\"s\",\"steps\":[]}");
    assertMalformed("{\"steps\":[{\"count\":0}]}");
    assertMalformed("{\"steps\":[{\"count\":-1}]}");
    assertMalformed("{\"steps\":[{\"count\":1,\"dependsOn\":[0]}]}");
    assertMalformed("{\"steps\":[{\"count\":1},{\"count\":1,\"dependsOn\":[\"x\"]}]}");
    assertMalformed("{\"steps\":[{\"count\":9999},{\"count\":9999}]}");
    assertMalformed("{\"spec\":\"" + "x".repeat(4001) + "\",\"steps\":[{\"count\":1}]}");
  }

  @Test
  void aLongRunningStepHasItsAvailabilityBounds() throws Exception {
    BatchStep step =
        parse(
                """
                {"steps":[{"count":3,"cpu":500,"longRunning":true,"missAllowed":1,"targetMs":80}]}
                """)
            .steps()
            .getFirst();

    assertEquals(Optional.of(new BatchStep.LongRunning(1, 80)), step.longRunning());
    assertTrue(step.servesUsers());
  }

  @Test
  void aStepOnUnusedCoresRequestsNoCores() throws Exception {
    BatchStep step =
        parse("{\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":9,\"utilization\":true}]}")
            .steps()
            .getFirst();

    assertEquals(new ResourceVector(0, 9, 0), step.demand());
    assertEquals(Optional.empty(), step.longRunning());
  }
}
