package org.fescuehook.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.fleet.RackId;

/** Parses the job that a caller submits. Callers omit fields that are 0, false or empty. */
final class SubmissionParser {

  /** Largest size that the platform's protocol allows for the text passed to tasks. */
  private static final int MAX_SPEC_BYTES = 4_000;

  /** Limits the memory that one call can use. Every deployment's largest step has fewer tasks. */
  private static final int MAX_TASKS = 10_000;

  private SubmissionParser() {}

  /**
   * Parses a job.
   *
   * @throws MalformedMessageException if the text is not a valid job
   */
  static Submission parse(byte[] text) throws MalformedMessageException {
    try {
      return submission(WireJson.parse(text));
    } catch (IllegalArgumentException e) {
      // The model rejects the value of a field, such as a blank rack.
      throw new MalformedMessageException(String.valueOf(e.getMessage()), e);
    }
  }

  private static Submission submission(JsonNode body) throws MalformedMessageException {
    String spec = body.path("spec").asText();
    int specBytes = spec.getBytes(StandardCharsets.UTF_8).length;
    if (specBytes > MAX_SPEC_BYTES) {
      throw new MalformedMessageException("spec of " + specBytes + " bytes");
    }
    List<BatchStep> steps = new ArrayList<>();
    int tasks = 0;
    for (JsonNode step : body.path("steps")) {
      BatchStep parsed = step(step, steps.size());
      steps.add(parsed);
      tasks += parsed.count();
    }
    Optional<Submission.Schedule> schedule = schedule(body);
    int occurrences = schedule.map(Submission.Schedule::occurrences).orElse(1);
    if (steps.isEmpty() || (long) tasks * occurrences > MAX_TASKS) {
      throw new MalformedMessageException(steps.size() + " steps with " + tasks + " tasks");
    }
    return new Submission(spec, steps, schedule);
  }

  private static Optional<Submission.Schedule> schedule(JsonNode body) {
    int times = body.path("repeatCount").asInt();
    if (times <= 0) {
      return Optional.empty();
    }
    return Optional.of(
        new Submission.Schedule(
            body.path("startAtMs").asLong(), body.path("intervalMs").asLong(), times));
  }

  private static BatchStep step(JsonNode step, int number) throws MalformedMessageException {
    int count = step.path("count").asInt();
    if (count < 1 || count > MAX_TASKS) {
      throw new MalformedMessageException("step " + number + " has " + count + " tasks");
    }
    List<Integer> dependsOn = new ArrayList<>();
    for (JsonNode earlier : step.path("dependsOn")) {
      if (!earlier.isInt() || earlier.asInt() < 0 || earlier.asInt() >= number) {
        throw new MalformedMessageException("step " + number + " depends on " + earlier);
      }
      dependsOn.add(earlier.asInt());
    }
    return new BatchStep(
        count,
        demand(step),
        step.path("estimateMs").asLong(),
        dependsOn,
        placement(step),
        step.path("checkpointing").asBoolean(),
        step.path("gang").asBoolean(),
        step.path("image").asText(),
        longRunning(step));
  }

  /**
   * Returns the resources that a task requests. A step with "utilization" runs on cores that other
   * tasks leave unused and requests none.
   */
  private static ResourceVector demand(JsonNode step) {
    int cores = step.path("utilization").asBoolean() ? 0 : step.path("cpu").asInt();
    return new ResourceVector(cores, step.path("memMb").asInt(), step.path("gpu").asInt());
  }

  private static Optional<BatchStep.LongRunning> longRunning(JsonNode step) {
    if (!step.path("longRunning").asBoolean()) {
      return Optional.empty();
    }
    return Optional.of(
        new BatchStep.LongRunning(
            step.path("missAllowed").asInt(), step.path("targetMs").asLong()));
  }

  private static BatchStep.PlacementRule placement(JsonNode step) {
    return new BatchStep.PlacementRule(
        step.path("sameRack").asBoolean(),
        label(step.path("requirements")),
        text(step.path("affinity")).map(RackId::new),
        step.path("antiAffinity").asInt());
  }

  /** Returns the required label, which some callers send as a list of one. */
  private static Optional<String> label(JsonNode node) {
    return node.isArray() ? text(node.path(0)) : text(node);
  }

  private static Optional<String> text(JsonNode node) {
    String text = node.asText();
    return text.isEmpty() ? Optional.empty() : Optional.of(text);
  }
}
