package org.fescuehook.standins;

/** Thrown when a stand-in cannot be started. */
public final class StandInException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param step the failed operation
   * @param peer the address or the file of the operation
   */
  public StandInException(String step, String peer, Throwable cause) {
    super(step + " " + peer + ": " + cause.getMessage(), cause);
  }
}
