package org.fescuehook.platform;

/** Thrown if a message of the platform, an executor or a caller cannot be parsed. */
final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Limit on the text of a message. It may quote a value, which can be as long as a record. */
  private static final int MAX_LENGTH = 300;

  MalformedMessageException(String problem) {
    super(limited(problem));
  }

  MalformedMessageException(String problem, Throwable cause) {
    super(limited(problem), cause);
  }

  private static String limited(String problem) {
    return problem.length() <= MAX_LENGTH ? problem : problem.substring(0, MAX_LENGTH) + "...";
  }
}
