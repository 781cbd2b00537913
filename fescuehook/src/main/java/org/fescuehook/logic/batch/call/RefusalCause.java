package org.fescuehook.logic.batch.call;

/** Why a call was refused; nothing of it was done. */
public enum RefusalCause {
  /** This VM has read no configuration yet. */
  NO_CONFIGURATION,
  /** No VM owns the jobs at present, or the owner cannot be reached. */
  NO_OWNER,
  /** The VM asked is not the owner, or is still loading the jobs. */
  NOT_OWNER,
  /** The store does not answer. */
  STORE_AWAY,
  /** A ring or table is full. */
  OVERLOADED,
  /** The VM is stopping. */
  STOPPING,
  /** The job needs what this version cannot do. */
  UNSUPPORTED;

  /** Returns the name as a metric tag. */
  public String tag() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
