package org.fescuehook.standins;

/** A stand-in could not be started. */
public final class StandInException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param step what was tried
   * @param peer the address or file concerned
   */
  public StandInException(String step, String peer, Throwable cause) {
    super(step + " " + peer + ": " + cause.getMessage(), cause);
  }
}
