package org.fescuehook.logic.batch.call;

/** The reason why it is not known whether a call took effect. */
public enum UndecidedCause {
  /** The owner did not answer in time. */
  OWNER_SILENT,
  /** The store did not answer the append that contains the call. */
  STORE_SILENT,
  /** This VM lost ownership while the append was pending. */
  OWNERSHIP_LOST;

  /** Returns the value of the cause in metric tags. */
  public String tag() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
