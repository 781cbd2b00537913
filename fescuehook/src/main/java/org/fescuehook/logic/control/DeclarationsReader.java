package org.fescuehook.logic.control;

import org.fescuehook.model.configuration.Declarations;

/** Parses the text of published declarations. */
public interface DeclarationsReader {

  /**
   * Parses declarations.
   *
   * @param text the declarations as published, in INI format
   * @throws InvalidDeclarationsException if the declarations are invalid
   */
  Declarations parse(String text) throws InvalidDeclarationsException;

  /**
   * Checks declarations before they are published. The check may be stricter than {@link #parse},
   * so that declarations published by an earlier version stay readable.
   *
   * @param text the declarations, in INI format
   * @throws InvalidDeclarationsException if the declarations must not be published
   */
  default void check(String text) throws InvalidDeclarationsException {
    parse(text);
  }

  /** Thrown if declarations are invalid. */
  class InvalidDeclarationsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names every error. */
    public InvalidDeclarationsException(String message) {
      super(message);
    }
  }
}
