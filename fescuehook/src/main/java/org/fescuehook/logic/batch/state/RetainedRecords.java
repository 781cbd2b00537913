package org.fescuehook.logic.batch.state;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Records that are retained for a limited time, ordered from the oldest to the newest.
 *
 * @param <T> type of the records
 */
final class RetainedRecords<T> {

  /** Upper bound on jumps of the wall clock, which is known to jump by seconds. */
  private static final Duration LARGEST_JUMP = Duration.ofMinutes(10);

  private final Map<String, Kept<T>> records = new LinkedHashMap<>();

  private final int maxRecords;

  private record Kept<T>(T value, long wallMillis, long keptSince) {}

  /**
   * Creates an empty collection.
   *
   * @param maxRecords number of records above which the oldest is removed before its time
   */
  RetainedRecords(int maxRecords) {
    this.maxRecords = maxRecords;
  }

  /**
   * Adds a record, or replaces the one with the same id.
   *
   * @param wallMillis when the record was created, milliseconds since 1970
   * @param nowNanos monotonic time
   */
  void put(String id, T value, long wallMillis, long nowNanos) {
    // A record that is replaced moves to the end, so that the oldest stays first.
    records.remove(id);
    records.put(id, new Kept<>(value, wallMillis, nowNanos));
  }

  Optional<T> get(String id) {
    return Optional.ofNullable(records.get(id)).map(Kept::value);
  }

  void remove(String id) {
    records.remove(id);
  }

  /**
   * Removes the oldest record if its retention has expired or there are too many records, and
   * returns its id; empty otherwise. The wall clock may jump. So the retention must have elapsed by
   * the monotonic clock of this VM; or, as for records of a former owner, by the wall clock with a
   * margin that no jump of the clock exceeds.
   */
  Optional<String> removeOneExpired(Duration retention, long nowNanos, long wallMillis) {
    Iterator<Map.Entry<String, Kept<T>>> entries = records.entrySet().iterator();
    if (!entries.hasNext()) {
      return Optional.empty();
    }
    Map.Entry<String, Kept<T>> oldest = entries.next();
    long keptNanos = nowNanos - oldest.getValue().keptSince();
    long ageMillis = wallMillis - oldest.getValue().wallMillis();
    boolean clearlyExpired = ageMillis >= retention.plus(LARGEST_JUMP).toMillis();
    boolean tooMany = records.size() > maxRecords;
    if (!tooMany && keptNanos < retention.toNanos() && !clearlyExpired) {
      return Optional.empty();
    }
    entries.remove();
    return Optional.of(oldest.getKey());
  }
}
