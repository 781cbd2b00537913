package org.fescuehook.standins.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Encodes and decodes the store's records: a big-endian length of four bytes, then the payload. */
final class StoreRecords {

  private StoreRecords() {}

  static List<byte[]> decode(byte[] body) {
    List<byte[]> records = new ArrayList<>();
    ByteBuffer buffer = ByteBuffer.wrap(body);
    while (buffer.hasRemaining()) {
      byte[] payload = new byte[buffer.getInt()];
      buffer.get(payload);
      records.add(payload);
    }
    return records;
  }

  /**
   * Encodes the response to a read: the end offset, the first offset that is kept, then the
   * records.
   */
  static byte[] encode(long end, long firstKept, List<byte[]> records) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ByteBuffer.allocate(2 * Long.BYTES).putLong(end).putLong(firstKept).array());
    for (byte[] payload : records) {
      out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(payload.length).array());
      out.writeBytes(payload);
    }
    return out.toByteArray();
  }

  /** Encodes a record of a keyed topic: the length of the key in one byte, the key, the value. */
  static byte[] keyed(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(1 + name.length + value.length)
        .put((byte) name.length)
        .put(name)
        .put(value)
        .array();
  }

  static String key(byte[] record) {
    return new String(record, 1, Byte.toUnsignedInt(record[0]), StandardCharsets.UTF_8);
  }

  static byte[] value(byte[] record) {
    return Arrays.copyOfRange(record, 1 + Byte.toUnsignedInt(record[0]), record.length);
  }
}
