package org.fescuehook.logic.platform;

/** Thrown if the log service does not answer a call or rejects it. */
public final class LogUnavailableException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String step;
  private final String peer;
  private final boolean mayHaveTakenEffect;

  /**
   * Creates the exception.
   *
   * @param step operation that failed, for example {@code append control}
   * @param peer address of the log service
   * @param mayHaveTakenEffect whether the record of a failed append may nevertheless be in the log
   */
  public LogUnavailableException(
      String step, String peer, boolean mayHaveTakenEffect, Throwable cause) {
    super(step + " at " + peer + ": " + cause.getMessage(), cause);
    this.step = step;
    this.peer = peer;
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Returns the operation that failed. */
  public String step() {
    return step;
  }

  /** Returns the address of the log service. */
  public String peer() {
    return peer;
  }

  /** Tells whether the record of a failed append may nevertheless be in the log. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
