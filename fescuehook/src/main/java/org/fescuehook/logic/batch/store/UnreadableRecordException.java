package org.fescuehook.logic.batch.store;

/** Thrown if a stored record cannot be decoded. */
public final class UnreadableRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param record description of the record
   */
  public UnreadableRecordException(String record, Throwable cause) {
    super("cannot decode " + record + ": " + cause.getMessage(), cause);
  }
}
