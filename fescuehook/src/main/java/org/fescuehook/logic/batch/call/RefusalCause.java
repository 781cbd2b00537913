package org.fescuehook.logic.batch.call;

/** The reason why a call was refused. A refused call had no effect. */
public enum RefusalCause {
  /** This VM has read no configuration yet. */
  NO_CONFIGURATION,
  /** No VM is the owner at present, or the owner cannot be reached. */
  NO_OWNER,
  /** The VM that received the call is not the owner, or is still loading the jobs. */
  NOT_OWNER,
  /** The store does not answer, or not within the time that the caller waits. */
  STORE_AWAY,
  /** An internal queue or table of the VM is full. */
  OVERLOADED,
  /** The VM is stopping. */
  STOPPING,
  /** The job needs a feature that this VM does not support or is not configured for. */
  UNSUPPORTED,
  /** This VM has not read the operators' records for so long that its configuration may be old. */
  STALE_CONFIGURATION,
  /** So much work is waiting that the job would surely start too late to be of use. */
  BACKLOG,
  /** A job of another queue or organisation has the id. */
  ID_IN_USE;

  /** Returns the value of the cause in metric tags. */
  public String tag() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
