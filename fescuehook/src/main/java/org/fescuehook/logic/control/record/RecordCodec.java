package org.fescuehook.logic.control.record;

import com.google.protobuf.InvalidProtocolBufferException;
import org.fescuehook.wire.ControlRecord;

/** Encodes and decodes records of the control stream. */
public final class RecordCodec {

  /** The version of the record format that this program writes. */
  public static final int VERSION = 1;

  private RecordCodec() {}

  /** Encodes a record. */
  public static byte[] encode(ControlRecord record) {
    return record.toByteArray();
  }

  /**
   * Decodes a record.
   *
   * <p>A record of a newer version with a known body counts as known, because new versions only add
   * fields and an unknown field can be ignored. An unknown body may change the state, so it is
   * distinguished from data that is not a record of this system.
   */
  public static DecodedRecord decode(byte[] data) {
    ControlRecord record;
    try {
      record = ControlRecord.parseFrom(data);
    } catch (InvalidProtocolBufferException e) {
      return new DecodedRecord.Corrupt(String.valueOf(e.getMessage()));
    }
    if (record.getVersion() == 0 || record.getSequence() == 0) {
      return new DecodedRecord.Foreign("no version or sequence");
    }
    if (record.getWriter().isBlank() || record.getIncarnation().isBlank()) {
      return new DecodedRecord.Foreign("no writer");
    }
    if (record.getBodyCase() != ControlRecord.BodyCase.BODY_NOT_SET) {
      return new DecodedRecord.Known(record);
    }
    if (record.getVersion() > VERSION) {
      return new DecodedRecord.Newer(record);
    }
    return new DecodedRecord.Foreign("no body");
  }
}
