package org.fescuehook.logic.batch.call;

/** Why the fate of a call is not known. */
public enum UndecidedCause {
  /** The owner gave no answer in time. */
  OWNER_SILENT,
  /** The store gave no answer to the append that holds the call. */
  STORE_SILENT,
  /** Ownership was lost while the append was on its way. */
  OWNERSHIP_LOST;

  /** Returns the name as a metric tag. */
  public String tag() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
