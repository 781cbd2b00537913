package org.fescuehook.logic.control.request;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fescuehook.logic.control.record.WireEnumNames;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.wire.JobSnapshot;

/** Writes the state of a job as JSON, for callers. */
final class JobDocument {

  private JobDocument() {}

  static String json(JobState job) {
    JobSnapshot snapshot = job.snapshot();
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("job", job.id().value());
    node.put("organisation", job.job().organisation().value());
    node.put("state", state(job));
    node.put("submitted", job.job().submittedMillis());
    node.put("members", job.job().shape().members());
    node.put("attempt", job.attempt().number());
    node.put("failures", snapshot.getFailures());
    node.put("cancelRequested", snapshot.getCancelRequested());
    if (job.live()) {
      ArrayNode workers = node.putArray("workers");
      job.workers().forEach(worker -> workers.add(worker.value()));
      node.put("planned", snapshot.getStartedMillis());
    }
    if (snapshot.hasEnded()) {
      node.put("lastResult", WireEnumNames.of(snapshot.getEnded().getResult()));
      node.put("lastReason", WireEnumNames.of(snapshot.getEnded().getReason()));
      node.put("exitCode", snapshot.getEnded().getExitCode());
    }
    if (job.hasResult()) {
      node.put("ended", snapshot.getEndedMillis());
      node.put("detail", snapshot.getJobEnded().getDetail());
    }
    return node.toString();
  }

  private static String state(JobState job) {
    if (job.hasResult()) {
      return WireEnumNames.of(job.snapshot().getJobEnded().getResult());
    }
    if (job.stopping()) {
      return "stopping";
    }
    if (job.committed()) {
      return "running";
    }
    return job.live() ? "starting" : "waiting";
  }
}
