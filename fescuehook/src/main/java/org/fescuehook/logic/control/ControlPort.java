package org.fescuehook.logic.control;

import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.request.RefusalReason;

/** Hands requests of callers and operators to the decision thread. */
public interface ControlPort {

  /**
   * Offers a request without waiting.
   *
   * @param sink called once, on the decision thread
   * @return false if the ring is full; the request was not taken then
   */
  boolean offer(Request request, Consumer<Answer> sink);

  /** Requests. */
  sealed interface Request {

    /** Submits a job. */
    record Submit(
        OrganisationId organisation,
        Optional<String> requestId,
        Shape shape,
        boolean urgent,
        boolean checkpointable,
        long declaredSeconds,
        String command)
        implements Request {}

    /** Cancels a job; idempotent. */
    record Cancel(JobId job) implements Request {}

    /** Shows a job, waiting up to {@code waitMillis} for its end. */
    record Show(JobId job, long waitMillis) implements Request {}

    /** Explains why a job waits or was refused. */
    record Explain(JobId job) implements Request {}

    /** Publishes declarations on top of a revision. */
    record Publish(long baseRevision, String author, String reason, String declarations)
        implements Request {}

    /** Asks for the state of the system, for operators. */
    record Status() implements Request {}

    /** Stops deciding: hands ownership over. */
    record HandOver() implements Request {}
  }

  /** Answers. */
  sealed interface Answer {

    /** The job is in the log. */
    record Accepted(JobId job) implements Answer {}

    /** A document for the asker, as JSON text. */
    record Document(String json) implements Answer {}

    /** The configuration is in the log and in force here. */
    record Published(long revision) implements Answer {}

    /** Another publication won. */
    record Conflict(long winner, String author) implements Answer {}

    /** Done; nothing to tell. */
    record Done() implements Answer {}

    /**
     * Refused.
     *
     * @param retryAfterSeconds when to come back; 0 for no advice
     */
    record Refused(RefusalReason reason, String detail, int retryAfterSeconds) implements Answer {}
  }
}
