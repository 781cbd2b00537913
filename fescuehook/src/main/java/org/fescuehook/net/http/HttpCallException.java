package org.fescuehook.net.http;

/** A call had no answer, or one that refuses it. */
public final class HttpCallException extends Exception {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveTakenEffect;

  /**
   * Creates the exception.
   *
   * @param mayHaveTakenEffect whether the peer may have done what was asked
   */
  public HttpCallException(String message, boolean mayHaveTakenEffect, Throwable cause) {
    super(message, cause);
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Tells whether the peer may have done what was asked. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
