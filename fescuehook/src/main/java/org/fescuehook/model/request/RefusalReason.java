package org.fescuehook.model.request;

import java.util.Locale;

/** Why the system gave a caller no answer of a backend server. Each has a counter. */
public enum RefusalReason {
  /** The request itself is wrong: framing, header, body or field. */
  BAD_REQUEST(400, ExecutionStatus.NO, false),
  /** The named organisation is not declared. */
  UNKNOWN_ORGANISATION(403, ExecutionStatus.NO, false),
  /** No such job, or no such resource. */
  NOT_FOUND(404, ExecutionStatus.NO, false),
  /** Header, body or field beyond its bound. */
  TOO_LARGE(413, ExecutionStatus.NO, false),
  /** A rule refuses the job. */
  REFUSED_BY_RULE(422, ExecutionStatus.NO, false),
  /** No shape of the declared fleet can ever hold the job. */
  NEVER_RUNNABLE(422, ExecutionStatus.NO, false),
  /** The organisation has its share of requests in flight. */
  ORGANISATION_SHARE(429, ExecutionStatus.NO, true),
  /** A bounded queue or ring is full. */
  QUEUE_FULL(503, ExecutionStatus.NO, true),
  /** No executor has a free slot within the deadline. */
  NO_EXECUTOR(503, ExecutionStatus.NO, true),
  /** The VM is stopping. */
  DRAINING(503, ExecutionStatus.NO, true),
  /** The VM has no configuration, or cannot tell that its configuration is current. */
  NOT_READY(503, ExecutionStatus.NO, true),
  /** The log is needed and cannot be reached. */
  LOG_UNAVAILABLE(503, ExecutionStatus.NO, true),
  /** The same request id is being run. */
  IN_PROGRESS(409, ExecutionStatus.UNKNOWN, true),
  /** The request id was used for another request; this one was not run. */
  REQUEST_ID_REUSED(422, ExecutionStatus.NO, false),
  /** The same request id was run, and its answer was too large to be kept. */
  OUTCOME_NOT_KEPT(410, ExecutionStatus.YES, false),
  /** The same request id was claimed and its outcome is not known. */
  OUTCOME_UNKNOWN(502, ExecutionStatus.UNKNOWN, false),
  /** The deadline passed before the request was sent to an executor. */
  DEADLINE_BEFORE_DISPATCH(504, ExecutionStatus.NO, true),
  /** The deadline passed after the request was sent. */
  DEADLINE_AFTER_DISPATCH(504, ExecutionStatus.UNKNOWN, false),
  /** The connection to the executor broke after the request was sent. */
  CONNECTION_LOST(502, ExecutionStatus.UNKNOWN, false),
  /** The executor's answer was cut, malformed, or another request's. */
  BAD_ANSWER(502, ExecutionStatus.UNKNOWN, false),
  /** Executors refused the request as not run until attempts or time ended. */
  EXECUTORS_REFUSED(503, ExecutionStatus.NO, true);

  private final int status;
  private final ExecutionStatus ran;
  private final boolean retryable;

  RefusalReason(int status, ExecutionStatus ran, boolean retryable) {
    this.status = status;
    this.ran = ran;
    this.retryable = retryable;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns what is known about whether the request was run. */
  public ExecutionStatus ran() {
    return ran;
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
