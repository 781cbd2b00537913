package org.fescuehook.logic.control.ownership;

/** States how much of the log this version of the program can interpret. */
public enum LogCompatibility {
  /** It interprets everything, and can be the owner. */
  WHOLE,
  /**
   * It cannot parse the configuration in force. It leaves ownership to other VMs if one can take
   * it, and otherwise, as the owner, keeps the running gangs alive.
   */
  NO_CONFIGURATION,
  /**
   * An owner of a newer version wrote decisions that this version does not know, so its state may
   * be wrong.
   */
  PARTIAL
}
