package org.fescuehook.logic.control.record;

import org.fescuehook.wire.ControlRecord;

/** What the bytes of a record of the control stream turned out to be. */
public sealed interface DecodedRecord {

  /** A record that this version understands, as far as it needs to. */
  record Known(ControlRecord record) implements DecodedRecord {}

  /** A record of a newer version whose body this version does not know. */
  record Newer(ControlRecord record) implements DecodedRecord {}

  /** Bytes that are no record of this system. */
  record Foreign(String detail) implements DecodedRecord {}

  /** Bytes that are no protobuf message at all. */
  record Corrupt(String detail) implements DecodedRecord {}
}
