package org.fescuehook.standins.log;

import java.util.ArrayList;
import java.util.List;

/** The records of one stream, oldest first. Not thread-safe. */
final class RecordStream {
  private static final int MAX_PAGE_BYTES = 4 << 20;

  /** Number of dropped records after which the list is compacted. */
  private static final int COMPACTION_THRESHOLD_RECORDS = 4096;

  private final List<StoredRecord> records = new ArrayList<>();

  /** Index of the oldest record that has not been dropped. */
  private int firstKept;

  private long next;

  /** A record; {@code appended} is the time of its append, in wall-clock milliseconds. */
  record StoredRecord(long offset, long appended, byte[] data) {}

  /**
   * Response to a read.
   *
   * @param earliest offset of the oldest record that the stream keeps
   * @param next offset after the last record of the stream
   */
  record Page(long earliest, long next, List<StoredRecord> records) {}

  long append(long now, byte[] data) {
    records.add(new StoredRecord(next, now, data));
    return next++;
  }

  /** Drops the oldest records that exceed the count or the age; 0 stands for no limit. */
  void retain(long now, int count, long ageMillis) {
    while (firstKept < records.size() && expired(now, count, ageMillis)) {
      firstKept++;
    }
    if (firstKept >= COMPACTION_THRESHOLD_RECORDS) {
      records.subList(0, firstKept).clear();
      firstKept = 0;
    }
  }

  /** Returns records from an offset on; an offset before the earliest one starts there. */
  Page read(long from, int max) {
    List<StoredRecord> page = new ArrayList<>();
    long bytes = 0;
    long start = firstKept + Math.max(0, from - earliest());
    for (long i = start; i < records.size() && page.size() < max; i++) {
      StoredRecord stored = records.get((int) i);
      bytes += stored.data().length;
      if (bytes > MAX_PAGE_BYTES && !page.isEmpty()) {
        break;
      }
      page.add(stored);
    }
    return new Page(earliest(), next, page);
  }

  long next() {
    return next;
  }

  private long earliest() {
    return firstKept == records.size() ? next : records.get(firstKept).offset();
  }

  private boolean expired(long now, int count, long ageMillis) {
    if (count > 0 && records.size() - firstKept > count) {
      return true;
    }
    return ageMillis > 0 && now - records.get(firstKept).appended() > ageMillis;
  }
}
