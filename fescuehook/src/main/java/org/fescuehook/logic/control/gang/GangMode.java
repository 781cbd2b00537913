package org.fescuehook.logic.control.gang;

/** What this VM may do about gangs. */
public enum GangMode {
  /** Nothing: another VM decides. */
  OFF,
  /** Nothing for now, but remember: the owner has still to read to the end. */
  READ,
  /** Renew leases and release what is known to be broken; append nothing, start no gang. */
  RENEW,
  /** All that an owner does. */
  DECIDE
}
