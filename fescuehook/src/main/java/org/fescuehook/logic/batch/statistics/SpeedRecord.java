package org.fescuehook.logic.batch.statistics;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.model.fleet.Incarnation;

/**
 * The stored record of the lasting speeds, from which the next owner begins. It holds five bytes
 * for each executor: a hash of its incarnation and the class of its speed. A hash that two
 * executors share gives one of them a wrong speed until its next runs.
 */
public final class SpeedRecord {

  /** Key of the record in the stream of jobs. */
  public static final String KEY = "s/speeds";

  /** Bounds the record to 5 KB; the product's target size is 810 executors. */
  private static final int MAX_EXECUTORS = 1024;

  /** Time between two records: 250 bytes a second for 245 executors, and none without changes. */
  private static final long INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

  private static final int BYTES_PER_EXECUTOR = Integer.BYTES + 1;

  private byte[] last = {};
  private long writtenAt;
  private boolean written;

  /**
   * Returns a record to store; absent if none is due, nothing has changed or all speeds are equal.
   *
   * @param classes classes of the speeds of known executors by the hashes of their incarnations
   * @param differ whether they differ by more than noise
   */
  Optional<byte[]> next(Map<Integer, Integer> classes, boolean differ, long nowNanos) {
    byte[] record = encode(classes);
    if (Arrays.equals(record, last) || !(differ || written)) {
      return Optional.empty();
    }
    last = record;
    writtenAt = nowNanos;
    written = true;
    return Optional.of(record);
  }

  /** Tells whether a record may be stored now. */
  boolean due(long nowNanos) {
    return !written || nowNanos - writtenAt >= INTERVAL_NANOS;
  }

  private static byte[] encode(Map<Integer, Integer> classes) {
    int count = Math.min(MAX_EXECUTORS, classes.size());
    ByteBuffer buffer = ByteBuffer.allocate(count * BYTES_PER_EXECUTOR);
    classes.entrySet().stream()
        .limit(count)
        .forEach(entry -> buffer.putInt(entry.getKey()).put(entry.getValue().byteValue()));
    return buffer.array();
  }

  /** Returns the classes of the speeds by the hashes of the executors' incarnations. */
  static Map<Integer, Integer> decode(byte[] record) {
    Map<Integer, Integer> classes = new HashMap<>();
    ByteBuffer buffer = ByteBuffer.wrap(record);
    while (buffer.remaining() >= BYTES_PER_EXECUTOR) {
      classes.put(buffer.getInt(), (int) buffer.get());
    }
    return classes;
  }

  /** Returns the hash of an incarnation, which is the same on all VMs. */
  static int hash(Incarnation incarnation) {
    return incarnation.toString().hashCode();
  }
}
