package org.fescuehook.logic.control;

import org.fescuehook.model.configuration.Declarations;

/** Reads the text of published declarations. */
public interface DeclarationsReader {

  /**
   * Parses declarations.
   *
   * @param text the declarations as published, INI
   * @throws InvalidDeclarationsException if the text is no valid declarations
   */
  Declarations parse(String text) throws InvalidDeclarationsException;

  /**
   * Checks declarations that are to be published. It may refuse what {@link #parse} reads, so that
   * what an earlier version published stays readable.
   *
   * @param text the declarations, INI
   * @throws InvalidDeclarationsException if the declarations are not to be published
   */
  default void check(String text) throws InvalidDeclarationsException {
    parse(text);
  }

  /** The text is no valid declarations. */
  class InvalidDeclarationsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message names every fault. */
    public InvalidDeclarationsException(String message) {
      super(message);
    }
  }
}
