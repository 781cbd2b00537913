package org.fescuehook.net.http;

/** What became of a {@link HttpCall}. */
public sealed interface HttpResult {

  /** A whole answer came. */
  record Answered(int status, byte[] body) implements HttpResult {

    /** Tells whether the status says success. */
    public boolean succeeded() {
      return status >= 200 && status < 300;
    }
  }

  /**
   * No whole answer came.
   *
   * @param maybeSent whether a byte of the request may have reached the peer
   */
  record Failed(Throwable cause, boolean maybeSent) implements HttpResult {}
}
