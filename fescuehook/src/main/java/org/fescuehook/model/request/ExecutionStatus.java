package org.fescuehook.model.request;

import java.util.Locale;

/** What is known about whether a request was run. */
public enum ExecutionStatus {
  /** It surely was not run and will not be. */
  NO,
  /** It may have been run, in whole or in part. */
  UNKNOWN,
  /** It was run. */
  YES;

  /** Returns the word used on the wire. */
  public String slug() {
    return name().toLowerCase(Locale.ROOT);
  }
}
