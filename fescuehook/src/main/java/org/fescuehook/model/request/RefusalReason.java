package org.fescuehook.model.request;

import java.util.Locale;

/**
 * Reason for which a caller gets an error instead of the answer of a backend server. Each reason is
 * counted in the metrics.
 */
public enum RefusalReason {
  /** The request itself is wrong: framing, header, body or field. */
  BAD_REQUEST(400, ExecutionStatus.NO, false),
  /** The named organisation is not declared. */
  UNKNOWN_ORGANISATION(403, ExecutionStatus.NO, false),
  /** No such job, or no such resource. */
  NOT_FOUND(404, ExecutionStatus.NO, false),
  /** A header, the body or a field exceeds its size limit. */
  TOO_LARGE(413, ExecutionStatus.NO, false),
  /** A rule refuses the job. */
  REFUSED_BY_RULE(422, ExecutionStatus.NO, false),
  /** The declared fleet can never hold the job, even if nothing else runs. */
  NEVER_RUNNABLE(422, ExecutionStatus.NO, false),
  /** The organisation already has as many requests in flight as its share allows. */
  ORGANISATION_SHARE(429, ExecutionStatus.NO, true),
  /** A bounded queue or ring is full. */
  QUEUE_FULL(503, ExecutionStatus.NO, true),
  /** No executor has a free slot within the deadline. */
  NO_EXECUTOR(503, ExecutionStatus.NO, true),
  /** The VM is stopping. */
  DRAINING(503, ExecutionStatus.NO, true),
  /** The VM has no configuration, or cannot confirm that its configuration is current. */
  NOT_READY(503, ExecutionStatus.NO, true),
  /** The log is needed and cannot be reached. */
  LOG_UNAVAILABLE(503, ExecutionStatus.NO, true),
  /** A request with the same id is still being processed. */
  IN_PROGRESS(409, ExecutionStatus.UNKNOWN, true),
  /** The request id was already used for a different request; this one was not run. */
  REQUEST_ID_REUSED(422, ExecutionStatus.NO, false),
  /** A request with the same id was run, but its answer was too large to be stored. */
  OUTCOME_NOT_KEPT(410, ExecutionStatus.YES, false),
  /** A request with the same id was claimed by an entry VM, and its outcome is not known. */
  OUTCOME_UNKNOWN(502, ExecutionStatus.UNKNOWN, false),
  /** The deadline passed before the request was sent to an executor. */
  DEADLINE_BEFORE_DISPATCH(504, ExecutionStatus.NO, true),
  /** The deadline passed after the request was sent. */
  DEADLINE_AFTER_DISPATCH(504, ExecutionStatus.UNKNOWN, false),
  /** The connection to the executor broke after the request was sent. */
  CONNECTION_LOST(502, ExecutionStatus.UNKNOWN, false),
  /** The executor's answer was truncated or malformed, or belonged to another request. */
  BAD_ANSWER(502, ExecutionStatus.UNKNOWN, false),
  /** Executors rejected the request without running it until no attempts or no time were left. */
  EXECUTORS_REFUSED(503, ExecutionStatus.NO, true);

  private final int status;
  private final ExecutionStatus executionStatus;
  private final boolean retryable;

  RefusalReason(int status, ExecutionStatus executionStatus, boolean retryable) {
    this.status = status;
    this.executionStatus = executionStatus;
    this.retryable = retryable;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns what is known about whether the request was run. */
  public ExecutionStatus executionStatus() {
    return executionStatus;
  }

  /** Tells whether the refusal carries a Retry-After header. */
  public boolean retryable() {
    return retryable;
  }

  /** Returns the word used on the wire and as metric tag. */
  public String slug() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
