package org.fescuehook.logic.control.append;

import org.fescuehook.wire.ControlRecord;

/**
 * What became of an own record.
 *
 * @param record the record
 * @param kind what became of it
 * @param offset its offset if it was read, else -1
 */
public record RecordOutcome(ControlRecord record, Kind kind, long offset) {

  /** What can become of a record. */
  public enum Kind {
    /** It was read and counted. */
    COUNTED,
    /** It was read and did not count. */
    NOT_COUNTED,
    /** It is not in the log, or will be dropped if it ever gets there. */
    ABSENT
  }
}
