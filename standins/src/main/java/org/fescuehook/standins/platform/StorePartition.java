package org.fescuehook.standins.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The one partition of a topic. It keeps all records; nothing expires. Not safe for threads. */
final class StorePartition {

  /** Answers to a writer's last appends that are repeated. */
  private static final int REPEATED_ANSWERS = 5;

  /** Most records of a page of the newest ones. */
  private static final int PAGE_RECORDS = 500;

  private final boolean keyed;
  private final List<byte[]> records = new ArrayList<>();
  private final TreeMap<String, Newest> newest = new TreeMap<>();
  private final Map<String, Writer> writers = new HashMap<>();

  /** The newest record of a key. */
  record Newest(String key, String value, long offset) {}

  /** A page of the newest records, in the order of their keys. */
  record Page(List<Newest> items, boolean hasMore, long endOffset) {}

  private static final class Writer {
    private final long epoch;
    private long next;
    private final Deque<Answered> answered = new ArrayDeque<>();

    private Writer(long epoch, long next) {
      this.epoch = epoch;
      this.next = next;
    }
  }

  private record Answered(long sequence, AppendAnswer.Stored answer) {}

  StorePartition(boolean keyed) {
    this.keyed = keyed;
  }

  long end() {
    return records.size();
  }

  AppendAnswer append(AppendCall call) {
    Writer writer = writers.get(call.producer());
    if (!call.producer().isEmpty() && writer != null) {
      if (call.epoch() < writer.epoch) {
        return new AppendAnswer.Fenced();
      }
      for (Answered earlier : writer.answered) {
        if (call.epoch() == writer.epoch && call.sequence() == earlier.sequence) {
          return earlier.answer;
        }
      }
      if (call.epoch() == writer.epoch && call.sequence() != writer.next) {
        return new AppendAnswer.OutOfSequence(writer.next);
      }
    }
    if (call.expectedEnd() >= 0 && call.expectedEnd() != end()) {
      return new AppendAnswer.OtherEnd(end());
    }
    long offset = end();
    call.records().forEach(this::add);
    AppendAnswer.Stored stored = new AppendAnswer.Stored(offset, end());
    if (!call.producer().isEmpty()) {
      remember(call, stored);
    }
    return stored;
  }

  private void remember(AppendCall call, AppendAnswer.Stored stored) {
    Writer known = writers.get(call.producer());
    Writer writer =
        known != null && known.epoch == call.epoch()
            ? known
            : new Writer(call.epoch(), call.sequence());
    writers.put(call.producer(), writer);
    if (call.records().isEmpty()) {
      return;
    }
    writer.next = call.sequence() + 1;
    writer.answered.addLast(new Answered(call.sequence(), stored));
    if (writer.answered.size() > REPEATED_ANSWERS) {
      writer.answered.removeFirst();
    }
  }

  private void add(byte[] record) {
    long offset = end();
    records.add(record);
    if (!keyed) {
      return;
    }
    String key = StoreRecords.key(record);
    byte[] value = StoreRecords.value(record);
    if (value.length == 0) {
      newest.remove(key);
    } else {
      newest.put(key, new Newest(key, Base64.getEncoder().encodeToString(value), offset));
    }
  }

  /** Returns the answer of a read from an offset on, up to a number of bytes. */
  byte[] read(long from, long maxBytes) {
    List<byte[]> found = new ArrayList<>();
    long bytes = 0;
    for (int i = (int) from; i < records.size() && bytes < maxBytes; i++) {
      found.add(records.get(i));
      bytes += records.get(i).length;
    }
    return StoreRecords.encode(end(), found);
  }

  /** Returns the newest records after a key, or from the start if it is empty. */
  Page newest(String afterKey) {
    var following = afterKey.isEmpty() ? newest : newest.tailMap(afterKey, false);
    List<Newest> items = following.values().stream().limit(PAGE_RECORDS).toList();
    return new Page(items, following.size() > items.size(), end());
  }
}
