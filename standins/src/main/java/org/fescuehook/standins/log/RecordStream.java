package org.fescuehook.standins.log;

import java.util.ArrayList;
import java.util.List;

/** The records of one stream, oldest first. Not thread-safe. */
final class RecordStream {
  private static final int MAX_PAGE_BYTES = 4 << 20;

  private static final int COMPACTION = 4096;

  private final List<StoredRecord> records = new ArrayList<>();
  private int head;
  private long next;

  /** A record; {@code appended} is in milliseconds. */
  record StoredRecord(long offset, long appended, byte[] data) {}

  /** An answer to a read; {@code next} is the offset after the last record of the stream. */
  record Page(long earliest, long next, List<StoredRecord> records) {}

  long append(long now, byte[] data) {
    records.add(new StoredRecord(next, now, data));
    return next++;
  }

  /** Drops records beyond the count or the age given; 0 stands for no limit. */
  void retain(long now, int count, long ageMillis) {
    while (head < records.size() && expired(now, count, ageMillis)) {
      head++;
    }
    if (head >= COMPACTION) {
      records.subList(0, head).clear();
      head = 0;
    }
  }

  Page read(long from, int max) {
    List<StoredRecord> page = new ArrayList<>();
    long bytes = 0;
    long start = head + Math.max(0, from - earliest());
    for (long i = start; i < records.size() && page.size() < max; i++) {
      StoredRecord r = records.get((int) i);
      bytes += r.data().length;
      if (bytes > MAX_PAGE_BYTES && !page.isEmpty()) {
        break;
      }
      page.add(r);
    }
    return new Page(earliest(), next, page);
  }

  long next() {
    return next;
  }

  private long earliest() {
    return head == records.size() ? next : records.get(head).offset();
  }

  private boolean expired(long now, int count, long ageMillis) {
    if (count > 0 && records.size() - head > count) {
      return true;
    }
    return ageMillis > 0 && now - records.get(head).appended() > ageMillis;
  }
}
