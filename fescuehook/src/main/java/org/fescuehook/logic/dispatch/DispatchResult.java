package org.fescuehook.logic.dispatch;

/** Result of one dispatch of a request to an executor. */
public sealed interface DispatchResult {

  /**
   * A complete answer was received.
   *
   * @param contentType content type of the answer; empty if it has none
   * @param body body of the answer if it is small and the request's id was claimed, else empty
   * @param kept whether {@code body} is the complete body
   */
  record Answered(int status, String contentType, byte[] body, boolean kept)
      implements DispatchResult {}

  /** No byte of the request was written to a connection. */
  record NotSent(NotSentCause cause) implements DispatchResult {}

  /** The executor answered that it did not run the request. */
  record RefusedNotRun() implements DispatchResult {}

  /**
   * Part of the request may have been written, and no complete answer was received.
   *
   * @param answerStarted whether part of the answer was passed on to the caller
   * @param freshConnection whether the connection was opened for this request
   */
  record Failed(FailureKind kind, boolean answerStarted, boolean freshConnection)
      implements DispatchResult {}

  /** Why no byte of the request was written. */
  enum NotSentCause {
    /** The connection to the executor could not be opened. */
    CONNECT_FAILED,
    /** All connections that this VM may open to the executor are in use. */
    NO_CONNECTION,
    /** The pooled connection was already closed. */
    CONNECTION_CLOSED,
    /** The deadline passed before the request was written. */
    DEADLINE
  }

  /** What failed after the request was written. */
  enum FailureKind {
    /** The connection was lost. */
    CONNECTION_LOST,
    /**
     * The answer was malformed, truncated, without a delimited length, or belonged to another
     * request.
     */
    BAD_ANSWER,
    /** The deadline passed. */
    DEADLINE,
    /** A pooled connection made no progress within the time allowed for it. */
    NO_PROGRESS
  }
}
