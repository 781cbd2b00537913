package org.fescuehook.logic.dispatch;

import com.google.protobuf.InvalidProtocolBufferException;
import org.fescuehook.wire.RequestRecord;

/** Decodes records of the stream {@code requests}. */
final class RequestRecords {
  /** Version of the records that this program writes. */
  static final int VERSION = 1;

  /** Newest version that this program can read: one above the version that it writes. */
  static final int NEWEST_READABLE = VERSION + 1;

  /** Result of decoding. */
  sealed interface Decoded {

    /** A record that can be applied. */
    record Readable(RequestRecord record) implements Decoded {}

    /** A record of a version that is too new for this program, which might misread its claims. */
    record Newer(int version) implements Decoded {}

    /** Data that is not a valid record. */
    record Corrupt() implements Decoded {}
  }

  private RequestRecords() {}

  static Decoded decode(byte[] data) {
    RequestRecord record;
    try {
      record = RequestRecord.parseFrom(data);
    } catch (InvalidProtocolBufferException e) {
      return new Decoded.Corrupt();
    }
    if (record.getVersion() > NEWEST_READABLE) {
      return new Decoded.Newer(record.getVersion());
    }
    if (record.getVersion() == 0 || record.getWriter().isEmpty()) {
      return new Decoded.Corrupt();
    }
    return new Decoded.Readable(record);
  }
}
