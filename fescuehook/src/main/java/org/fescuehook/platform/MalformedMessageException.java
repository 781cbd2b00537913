package org.fescuehook.platform;

/** A message of the platform, an executor or a caller cannot be read. */
final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedMessageException(String problem) {
    super(problem);
  }

  MalformedMessageException(String problem, Throwable cause) {
    super(problem, cause);
  }
}
