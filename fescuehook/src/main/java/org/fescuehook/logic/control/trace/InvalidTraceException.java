package org.fescuehook.logic.control.trace;

/** Thrown if a line of a trace cannot be parsed. */
public final class InvalidTraceException extends Exception {
  private static final long serialVersionUID = 1L;

  private final long line;

  /**
   * Creates the exception.
   *
   * @param line number of the line; the first one is 1
   * @param field name of the field that cannot be parsed
   * @param fault what is wrong with the field
   */
  public InvalidTraceException(long line, String field, String fault) {
    super("line " + line + ", " + field + ": " + fault);
    this.line = line;
  }

  /** Returns the number of the line; the first one is 1. */
  public long line() {
    return line;
  }
}
