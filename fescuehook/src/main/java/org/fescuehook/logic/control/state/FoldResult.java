package org.fescuehook.logic.control.state;

/** What became of a record in the fold. */
public enum FoldResult {
  /** It changed the state, or confirmed it under the epoch in force. */
  COUNTED,
  /** Its writer's sequence was read before. */
  DUPLICATE,
  /** Its epoch is not in force, or its claim is based on another epoch. */
  STALE_EPOCH,
  /** The state at its offset does not allow it. */
  NOT_APPLICABLE
}
