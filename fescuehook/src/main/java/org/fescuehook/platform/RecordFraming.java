package org.fescuehook.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.store.KeyedRecord;

/**
 * Encodes and decodes the binary records of keyed topics: four bytes of length (big-endian), one
 * byte of key length, the key and the value. A record without a value deletes its key.
 */
final class RecordFraming {

  private static final int HEADER_BYTES = 2 * Long.BYTES;

  private RecordFraming() {}

  static byte[] encode(List<KeyedRecord> records) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (KeyedRecord record : records) {
      byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
      byte[] value = record.value().orElse(new byte[0]);
      int length = 1 + key.length + value.length;
      out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
      out.write(key.length);
      out.writeBytes(key);
      out.writeBytes(value);
    }
    return out.toByteArray();
  }

  /**
   * Decodes the answer to a read: the end offset and the first retained offset, then the records.
   *
   * @param from offset of the first record
   * @throws MalformedMessageException if the bytes end within a record
   */
  static ReadOutcome.Records decode(byte[] body, long from) throws MalformedMessageException {
    if (body.length < HEADER_BYTES) {
      throw new MalformedMessageException("read answer of " + body.length + " bytes");
    }
    ByteBuffer buffer = ByteBuffer.wrap(body);
    long end = buffer.getLong();
    // Skips the first retained offset, which matters only if a read asks for an earlier one.
    buffer.getLong();
    List<StreamRecord> records = new ArrayList<>();
    long offset = from;
    while (buffer.hasRemaining()) {
      records.add(record(buffer, offset));
      offset++;
    }
    return new ReadOutcome.Records(records, Math.max(end, offset));
  }

  private static StreamRecord record(ByteBuffer buffer, long offset)
      throws MalformedMessageException {
    if (buffer.remaining() < Integer.BYTES) {
      throw new MalformedMessageException("record " + offset + " is cut");
    }
    int length = buffer.getInt();
    if (length < 1 || length > buffer.remaining()) {
      throw new MalformedMessageException("record " + offset + " has a length of " + length);
    }
    int keyLength = Byte.toUnsignedInt(buffer.get());
    if (keyLength >= length) {
      throw new MalformedMessageException("record " + offset + " has a key of " + keyLength);
    }
    byte[] key = new byte[keyLength];
    buffer.get(key);
    byte[] value = new byte[length - 1 - keyLength];
    buffer.get(value);
    Optional<byte[]> kept = value.length == 0 ? Optional.empty() : Optional.of(value);
    return new StreamRecord(offset, new String(key, StandardCharsets.UTF_8), kept);
  }
}
