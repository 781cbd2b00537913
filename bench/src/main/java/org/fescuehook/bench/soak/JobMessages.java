package org.fescuehook.bench.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.fescuehook.bench.caller.CallerOutcome;
import org.fescuehook.bench.soak.judge.JobCall;
import org.fescuehook.bench.soak.judge.PlannedJob;

/** Messages about jobs as callers of the platform write and read them. */
final class JobMessages {

  /** Resources of one of the four slots of an executor. */
  private static final int CORES = 1000;

  private static final int MEMORY = 1024;
  private static final int ESTIMATE_MILLIS = 500;

  /** How the caller's client words that its time was over. */
  private static final String TIMED_OUT = "no answer in time";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private JobMessages() {}

  static byte[] encode(PlannedJob job) {
    ObjectNode body = MAPPER.createObjectNode().put("spec", job.spec());
    ArrayNode steps = body.putArray("steps");
    for (PlannedJob.Step step : job.steps()) {
      ObjectNode node = steps.addObject().put("count", step.count());
      double slots = job.slotsPerTask();
      node.put("cpu", (int) (CORES * slots)).put("memMb", (int) (MEMORY * slots));
      node.put("estimateMs", estimateMillis(job));
      if (job.queue().accelerated()) {
        node.put("gpu", (int) Math.ceil(slots));
      }
      if (job.gang()) {
        node.put("gang", true);
      }
      step.placement().label().ifPresent(label -> node.put("requirements", label));
      if (step.placement().maxPerExecutor() > 0) {
        node.put("antiAffinity", step.placement().maxPerExecutor());
      }
      if (!step.dependsOn().isEmpty()) {
        ArrayNode earlier = node.putArray("dependsOn");
        step.dependsOn().forEach(earlier::add);
      }
    }
    try {
      return MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be written as JSON: " + job, e);
    }
  }

  /** Jobs that may be tried again more or less often than usual are described as they are. */
  private static int estimateMillis(PlannedJob job) {
    return switch (job.queue()) {
      case RETRIED, TWO_ATTEMPTS -> job.millis();
      case USUAL, ADVISED, URGENT, SMALL, TWO_ATTEMPTS_PLAIN -> ESTIMATE_MILLIS;
    };
  }

  static JobCall.Result decode(CallerOutcome outcome) {
    return switch (outcome) {
      case CallerOutcome.Answered answered ->
          new JobCall.Result.Answered(answered.status(), state(answered.body()));
      case CallerOutcome.Unanswered none when none.detail().equals(TIMED_OUT) ->
          new JobCall.Result.TimedOut();
      case CallerOutcome.Unanswered none -> new JobCall.Result.Broken(none.detail());
      case CallerOutcome.Cut cut -> new JobCall.Result.Broken(cut.detail());
      case CallerOutcome.NotSent none -> new JobCall.Result.NotSent();
    };
  }

  private static String state(byte[] body) {
    try {
      return MAPPER.readTree(body).path("state").asText();
    } catch (IOException e) {
      return "";
    }
  }
}
