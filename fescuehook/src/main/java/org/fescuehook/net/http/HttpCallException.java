package org.fescuehook.net.http;

/** Thrown when a call gets no complete answer. */
public final class HttpCallException extends Exception {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveTakenEffect;

  /**
   * Creates the exception.
   *
   * @param mayHaveTakenEffect whether the peer may have executed the request
   */
  public HttpCallException(String message, boolean mayHaveTakenEffect, Throwable cause) {
    super(message, cause);
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Returns whether the peer may have executed the request. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
