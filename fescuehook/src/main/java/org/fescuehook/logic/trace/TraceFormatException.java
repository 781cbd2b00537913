package org.fescuehook.logic.trace;

/** A line of a trace is wrong. */
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
   * @param field the field, or a position such as {@code word 2}
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

  /** Returns the field that is wrong. */
  public String field() {
    return field;
  }
}
