package org.fescuehook.logic.control.append;

import org.fescuehook.wire.ControlRecord;

/**
 * The outcome of a record that this VM appended.
 *
 * @param record the record
 * @param kind kind of the outcome
 * @param offset offset of the record if it was read; -1 otherwise
 */
public record RecordOutcome(ControlRecord record, Kind kind, long offset) {

  /** Kinds of outcomes. */
  public enum Kind {
    /** The record was read and took effect. */
    COUNTED,
    /** The record was read and had no effect. */
    NOT_COUNTED,
    /** The record is not in the log, or will be dropped if it still arrives there. */
    ABSENT
  }
}
