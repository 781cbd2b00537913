package org.fescuehook.logic.control.state;

/** The result of applying a record to the state. */
public enum FoldResult {
  /** It took effect: it changed the state, or confirmed it under the epoch in force. */
  COUNTED,
  /** A record with this or a later sequence number of its writer was read before. */
  DUPLICATE,
  /** Its epoch is not in force, or its claim is based on another epoch. */
  STALE_EPOCH,
  /** The state at the record's offset does not allow it. */
  NOT_APPLICABLE
}
