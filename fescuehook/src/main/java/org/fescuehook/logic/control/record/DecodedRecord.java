package org.fescuehook.logic.control.record;

import org.fescuehook.wire.ControlRecord;

/** The result of decoding a record of the control stream. */
public sealed interface DecodedRecord {

  /** A record that this version can apply. */
  record Known(ControlRecord record) implements DecodedRecord {}

  /** A record of a newer version whose body this version does not know. */
  record Newer(ControlRecord record) implements DecodedRecord {}

  /** A protobuf message that is not a record of this system. */
  record Foreign(String detail) implements DecodedRecord {}

  /** Data that is not a protobuf message. */
  record Corrupt(String detail) implements DecodedRecord {}
}
