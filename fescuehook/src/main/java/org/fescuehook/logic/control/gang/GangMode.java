package org.fescuehook.logic.control.gang;

/** Determines what this VM may do with running gangs. */
public enum GangMode {
  /** Does nothing, because another VM decides. */
  OFF,
  /**
   * Sends nothing, but keeps the progress of the attempts: this VM is the owner and has yet to read
   * the log to its end.
   */
  READ,
  /**
   * Renews leases and releases those of gangs that are known to be incomplete; appends nothing and
   * starts no gang.
   */
  RENEW,
  /** Does everything that the owner does. */
  DECIDE
}
