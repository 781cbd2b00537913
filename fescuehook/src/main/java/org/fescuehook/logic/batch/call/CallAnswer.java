package org.fescuehook.logic.batch.call;

import org.fescuehook.model.batch.JobPhase;

/** What a caller is told. */
public sealed interface CallAnswer {

  /** The job is stored. */
  record Accepted() implements CallAnswer {}

  /** The state of the job. */
  record Phase(JobPhase phase) implements CallAnswer {}

  /** The job is cancelled, or had ended. */
  record Cancelled() implements CallAnswer {}

  /** Jobs of the queue that wait. */
  record Pending(int jobs) implements CallAnswer {}

  /** No such job exists. */
  record NoSuchJob() implements CallAnswer {}

  /** No such queue exists. */
  record NoSuchQueue() implements CallAnswer {}

  /** No organisation holds the key. */
  record UnknownKey() implements CallAnswer {}

  /** The call cannot be read. */
  record Malformed(String reason) implements CallAnswer {}

  /**
   * Nothing of this call was done or will be.
   *
   * @param retryAfterMillis when to come back
   */
  record Refused(RefusalCause cause, long retryAfterMillis) implements CallAnswer {}

  /** Whether the call took effect is not known; the caller may send it again. */
  record Undecided(UndecidedCause cause) implements CallAnswer {}
}
