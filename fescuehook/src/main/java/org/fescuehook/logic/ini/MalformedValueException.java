package org.fescuehook.logic.ini;

/** Thrown if a text is not a valid value of its type; the message says why. */
public final class MalformedValueException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception. The problem is phrased as a predicate about the value, for example
   * {@code is not a duration}.
   */
  public MalformedValueException(String problem) {
    super(problem);
  }
}
