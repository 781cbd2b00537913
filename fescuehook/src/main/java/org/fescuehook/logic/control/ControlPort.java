package org.fescuehook.logic.control;

import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.request.RefusalReason;

/** Submits requests of callers and operators to the decision thread. */
public interface ControlPort {

  /**
   * Submits a request without blocking.
   *
   * @param sink receives the answer; called once, on the decision thread
   * @return false if the ring buffer is full and the request was not accepted
   */
  boolean offer(Request request, Consumer<Answer> sink);

  /** A request to the decision core. */
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

    /** Returns the state of a job, after waiting up to {@code waitMillis} for its end. */
    record Show(JobId job, long waitMillis) implements Request {}

    /** Explains why a job waits or was refused. */
    record Explain(JobId job) implements Request {}

    /** Publishes declarations that replace those of the base revision. */
    record Publish(long baseRevision, String author, String reason, String declarations)
        implements Request {}

    /** Returns the state of the system, for operators. */
    record Status() implements Request {}

    /** Releases ownership for good, so that another VM takes over. */
    record HandOver() implements Request {}
  }

  /** The answer to a request. */
  sealed interface Answer {

    /** The job's submission is in the log. */
    record Accepted(JobId job) implements Answer {}

    /** The requested document, as JSON text. */
    record Document(String json) implements Answer {}

    /** The configuration is in the log and in force here. */
    record Published(long revision) implements Answer {}

    /** Another publication replaced the base revision first. */
    record Conflict(long winner, String author) implements Answer {}

    /** The request took effect and has no result. */
    record Done() implements Answer {}

    /**
     * The request was refused.
     *
     * @param retryAfterSeconds time after which to retry; 0 if no time is recommended
     */
    record Refused(RefusalReason reason, String detail, int retryAfterSeconds) implements Answer {}
  }
}
