package org.fescuehook.logic.control.trace;

/** A line of a trace cannot be read. */
public final class InvalidTraceException extends Exception {
  private static final long serialVersionUID = 1L;

  private final long line;

  /**
   * Creates the exception.
   *
   * @param line number of the line, from 1 on
   * @param field what cannot be read
   * @param fault why
   */
  public InvalidTraceException(long line, String field, String fault) {
    super("line " + line + ", " + field + ": " + fault);
    this.line = line;
  }

  /** Returns the number of the line, from 1 on. */
  public long line() {
    return line;
  }
}
