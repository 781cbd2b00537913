package org.fescuehook.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Encodes and decodes the binary records of keyed topics: four bytes of length (big-endian), one
 * byte of key length, the key and the value. A record without a value deletes its key.
 */
final class RecordFraming {

  private static final Logger LOGGER = LoggerFactory.getLogger(RecordFraming.class);
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
   * Decodes the answer to a read: the end offset and the first retained offset, then the records. A
   * record whose key exceeds it is left out, as it would be the same in each further read.
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
      record(buffer, offset).ifPresent(records::add);
      offset++;
    }
    return new ReadOutcome.Records(records, Math.max(end, offset), offset);
  }

  private static Optional<StreamRecord> record(ByteBuffer buffer, long offset)
      throws MalformedMessageException {
    if (buffer.remaining() < Integer.BYTES) {
      throw new MalformedMessageException("record " + offset + " is cut");
    }
    int length = buffer.getInt();
    if (length < 0 || length > buffer.remaining()) {
      throw new MalformedMessageException("record " + offset + " has a length of " + length);
    }
    byte[] content = new byte[length];
    buffer.get(content);
    int keyLength = length == 0 ? 0 : Byte.toUnsignedInt(content[0]);
    if (keyLength >= length) {
      EventLog.warn(LOGGER, PlatformEvent.RECORD_WITHOUT_KEY, offset, length, keyLength);
      return Optional.empty();
    }
    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
    byte[] value = Arrays.copyOfRange(content, 1 + keyLength, length);
    Optional<byte[]> kept = value.length == 0 ? Optional.empty() : Optional.of(value);
    return Optional.of(new StreamRecord(offset, key, kept));
  }
}
