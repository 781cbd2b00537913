package org.fescuehook.logic.platform;

/** The log service did not answer a call, or refused it. */
public final class LogUnavailableException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String step;
  private final String peer;
  private final boolean mayHaveTakenEffect;

  /**
   * Creates the exception.
   *
   * @param step what was being done, as {@code append control}
   * @param peer address of the log service
   * @param mayHaveTakenEffect whether an append may be in the log all the same
   */
  public LogUnavailableException(
      String step, String peer, boolean mayHaveTakenEffect, Throwable cause) {
    super(step + " at " + peer + ": " + cause.getMessage(), cause);
    this.step = step;
    this.peer = peer;
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Returns what was being done. */
  public String step() {
    return step;
  }

  /** Returns the address of the log service. */
  public String peer() {
    return peer;
  }

  /** Tells whether an append may be in the log all the same. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
