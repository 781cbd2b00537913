package org.fescuehook.logic.batch.store;

/** A stored record cannot be decoded. */
public final class UnreadableRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Names the record that cannot be decoded. */
  public UnreadableRecordException(String record, Throwable cause) {
    super("cannot decode " + record + ": " + cause.getMessage(), cause);
  }
}
