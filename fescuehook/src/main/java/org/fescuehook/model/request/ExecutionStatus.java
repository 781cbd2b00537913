package org.fescuehook.model.request;

import java.util.Locale;

/** Whether a request was run, as far as is known. */
public enum ExecutionStatus {
  /** The request was not run and will not be run. */
  NO,
  /** The request may have been run, completely or in part. */
  UNKNOWN,
  /** The request was run. */
  YES;

  /** Returns the word used on the wire. */
  public String slug() {
    return name().toLowerCase(Locale.ROOT);
  }
}
