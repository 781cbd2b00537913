package org.fescuehook.logic.control.request;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.request.RefusalReason;

/**
 * Explains why a job waits. The scheduling policy has no side effects, so any VM that has read the
 * log can run it and gives the same answer as the owner.
 */
public final class ExplainHandler {
  private final Scheduler scheduler;

  /** Creates a handler that runs the given policy. */
  public ExplainHandler(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Answers why a job waits; for a job that does not wait, answers with its state. */
  public void explain(
      long ticket, JobId id, Optional<JobState> job, Scheduler.View view, DecisionContext context) {
    if (job.isEmpty()) {
      Refusals.refuse(ticket, RefusalReason.NOT_FOUND, "no job " + id, context);
      return;
    }
    if (!job.get().waiting()) {
      context.reply(ticket, new Answer.Document(JobDocument.json(job.get())));
      return;
    }
    Scheduler.Explanation reason = scheduler.plan(view).reasons().get(id);
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("job", id.value());
    node.put("state", "waiting");
    node.put("since", job.get().job().submittedMillis());
    if (reason == null) {
      node.put("rule", job.get().snapshot().getJob().getRule());
      node.put("missing", "nothing; it is about to start or end");
    } else {
      node.put("rule", reason.rule());
      node.put("missing", reason.missing());
      node.put("expectedStart", reason.expectedStartMillis());
    }
    context.reply(ticket, new Answer.Document(node.toString()));
  }
}
