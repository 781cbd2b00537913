package org.fescuehook.platform;

/** Thrown if a message of the platform, an executor or a caller cannot be parsed. */
final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedMessageException(String problem) {
    super(problem);
  }

  MalformedMessageException(String problem, Throwable cause) {
    super(problem, cause);
  }
}
