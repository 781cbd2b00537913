package org.fescuehook.logic.ini;

/** A text is no value of its type; the message says why. */
public final class MalformedValueException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with what is wrong, as a predicate of the value. */
  public MalformedValueException(String problem) {
    super(problem);
  }
}
