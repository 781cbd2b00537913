package org.fescuehook.logic.control.ownership;

/** How far this VM understands what the log tells. */
public enum LogCompatibility {
  /** It can decide all that an owner decides. */
  WHOLE,
  /**
   * It cannot read the configuration in force. It leaves ownership to others if it can, and keeps
   * running gangs going if nobody else does.
   */
  NO_CONFIGURATION,
  /** A newer version made decisions that it does not know, so its state may be wrong. */
  PARTIAL
}
