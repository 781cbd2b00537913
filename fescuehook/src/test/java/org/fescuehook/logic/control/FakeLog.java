package org.fescuehook.logic.control;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.model.log.LogPage;
import org.fescuehook.model.log.LogRecord;

/** An in-memory control stream. */
final class FakeLog {
  private final List<LogRecord> records = new ArrayList<>();
  private long earliest;
  boolean down;

  long append(byte[] data, long millis) {
    records.add(new LogRecord(earliest + records.size(), millis, data));
    return next() - 1;
  }

  long next() {
    return earliest + records.size();
  }

  /** Removes the records before an offset, as the log's retention does. */
  void dropUntil(long offset) {
    while (earliest < offset && !records.isEmpty()) {
      records.removeFirst();
      earliest++;
    }
  }

  LogPage read(long from, int max) {
    int start = (int) Math.max(0, from - earliest);
    int end = (int) Math.min(records.size(), (long) start + max);
    return new LogPage(earliest, next(), records.subList(Math.min(start, end), end));
  }
}
