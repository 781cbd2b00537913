package org.fescuehook.logic.batch.state;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Records that are kept for a while, oldest first.
 *
 * @param <T> what is kept under an id
 */
final class RetainedRecords<T> {

  /** Further than clocks of the day are set by mistake; they are known to jump by seconds. */
  private static final Duration LARGEST_JUMP = Duration.ofMinutes(10);

  private final Map<String, Kept<T>> records = new LinkedHashMap<>();

  private final int most;

  private record Kept<T>(T value, long wallMillis, long keptSince) {}

  /**
   * Creates a set without records.
   *
   * @param most how many are kept; with more the oldest is due
   */
  RetainedRecords(int most) {
    this.most = most;
  }

  /**
   * Keeps a record.
   *
   * @param wallMillis when it was made, milliseconds since 1970
   * @param nowNanos monotonic time
   */
  void put(String id, T value, long wallMillis, long nowNanos) {
    // Oldest first also if it was there before.
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
   * Removes and returns a record that was kept for long enough, or the oldest of too many; absent
   * if there is none. Clocks of the day jump, so it must have been long ago by the time that has
   * passed here, or so long ago by the clock that no jump explains it, as it may be with a record
   * of a former owner.
   */
  Optional<String> forgetOne(Duration retention, long nowNanos, long wallMillis) {
    Iterator<Map.Entry<String, Kept<T>>> entries = records.entrySet().iterator();
    if (!entries.hasNext()) {
      return Optional.empty();
    }
    Map.Entry<String, Kept<T>> oldest = entries.next();
    long keptNanos = nowNanos - oldest.getValue().keptSince();
    long ageMillis = wallMillis - oldest.getValue().wallMillis();
    boolean longAgo = ageMillis >= retention.plus(LARGEST_JUMP).toMillis();
    boolean tooMany = records.size() > most;
    if (!tooMany && keptNanos < retention.toNanos() && !longAgo) {
      return Optional.empty();
    }
    entries.remove();
    return Optional.of(oldest.getKey());
  }
}
