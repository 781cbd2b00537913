package org.fescuehook.net.http;

/** The result of an {@link HttpCall}. */
public sealed interface HttpResult {

  /** A complete answer, whatever its status. */
  record Answered(int status, byte[] body) implements HttpResult {

    /** Returns whether the status is one of success (2xx). */
    public boolean succeeded() {
      return status >= 200 && status < 300;
    }
  }

  /**
   * A failure to get a complete answer.
   *
   * @param maybeSent whether a byte of the request may have reached the peer
   */
  record Failed(Throwable cause, boolean maybeSent) implements HttpResult {}
}
