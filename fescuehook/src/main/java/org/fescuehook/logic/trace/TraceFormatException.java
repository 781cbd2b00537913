package org.fescuehook.logic.trace;

/** Thrown if a line of a trace is malformed. */
public final class TraceFormatException extends Exception {

  private static final long serialVersionUID = 1;

  private final String file;
  private final int line;
  private final String field;

  /**
   * Creates the exception.
   *
   * @param file name of the trace
   * @param line number of the line, from 1
   * @param field name of the malformed field or word
   * @param problem what is wrong
   */
  public TraceFormatException(String file, int line, String field, String problem) {
    super(file + ":" + line + ": " + field + ": " + problem);
    this.file = file;
    this.line = line;
    this.field = field;
  }

  /** Returns the name of the trace. */
  public String file() {
    return file;
  }

  /** Returns the number of the line, from 1. */
  public int line() {
    return line;
  }

  /** Returns the name of the malformed field or word. */
  public String field() {
    return field;
  }
}
