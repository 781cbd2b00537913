package org.fescuehook.logic.dispatch;

/** How one dispatch of a request to an executor ended. */
public sealed interface DispatchResult {

  /**
   * A whole answer came.
   *
   * @param contentType its content type, empty if it named none
   * @param body its body if it is small and the request has an id, else empty
   * @param kept whether {@code body} is the whole body
   */
  record Answered(int status, String contentType, byte[] body, boolean kept)
      implements DispatchResult {}

  /** No byte of the request was written to a connection. */
  record NotSent(NotSentCause cause) implements DispatchResult {}

  /** The executor answered that it has not run the request. */
  record RefusedNotRun() implements DispatchResult {}

  /**
   * A byte may have been written and no whole answer came.
   *
   * @param answerStarted whether a part of the answer was passed on to the caller
   * @param freshConnection whether the connection was opened for this request
   */
  record Failed(FailureKind kind, boolean answerStarted, boolean freshConnection)
      implements DispatchResult {}

  /** Why nothing was written. */
  enum NotSentCause {
    /** The executor accepted no connection. */
    CONNECT_FAILED,
    /** All connections that this VM may open to the executor are in use. */
    NO_CONNECTION,
    /** The pooled connection turned out to be closed. */
    CONNECTION_CLOSED,
    /** The deadline passed before the write. */
    DEADLINE
  }

  /** What went wrong after the write. */
  enum FailureKind {
    /** The connection broke. */
    CONNECTION_LOST,
    /** The answer was malformed, cut, not delimited, or another request's. */
    BAD_ANSWER,
    /** The deadline passed. */
    DEADLINE,
    /** A pooled connection gave no sign of life within the progress deadline. */
    NO_PROGRESS
  }
}
