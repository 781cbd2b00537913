package org.fescuehook.standins.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * The single partition of a topic. Keeps all records until its history is dropped. Not thread-safe.
 */
final class StorePartition {

  /** Number of a writer's last appends whose response is remembered and repeated to a retry. */
  private static final int MAX_REMEMBERED_APPENDS = 5;

  /** Maximum number of records on a page of {@link #newest(String)}. */
  private static final int MAX_PAGE_RECORDS = 500;

  private final boolean keyed;
  private final List<byte[]> records = new ArrayList<>();
  private final TreeMap<String, Newest> newest = new TreeMap<>();
  private final Map<String, Writer> writers = new HashMap<>();
  private int firstKept;

  /** The newest record of a key; its value is encoded as Base64. */
  record Newest(String key, String value, long offset) {

    private Newest seenBy(UnaryOperator<byte[]> view) {
      byte[] seen = view.apply(Base64.getDecoder().decode(value));
      return new Newest(key, Base64.getEncoder().encodeToString(seen), offset);
    }
  }

  /** A page of the newest records, ordered by key. */
  record Page(List<Newest> items, boolean hasMore, long endOffset) {}

  /** Appends of a writer in its current epoch. */
  private static final class Writer {
    private final long epoch;
    private long nextSequence;
    private final Deque<AnsweredAppend> lastAppends = new ArrayDeque<>();

    private Writer(long epoch, long nextSequence) {
      this.epoch = epoch;
      this.nextSequence = nextSequence;
    }
  }

  private record AnsweredAppend(long sequence, AppendAnswer.Stored answer) {}

  StorePartition(boolean keyed) {
    this.keyed = keyed;
  }

  long end() {
    return records.size();
  }

  /** Returns the offset of the first record that is kept. */
  long firstKept() {
    return firstKept;
  }

  /** Returns the keys that have a record, in their order. */
  List<String> keys() {
    return List.copyOf(newest.keySet());
  }

  /** Drops all records; the newest record of each key can still be read by {@link #newest}. */
  void dropHistory() {
    firstKept = records.size();
  }

  /**
   * Appends records, unless the writer's epoch is fenced, its sequence number doesn't follow its
   * last append or the partition doesn't end where the writer expects. A retry of one of the
   * writer's last appends gets the response of the first try and appends nothing.
   */
  AppendAnswer append(AppendCall call) {
    Writer writer = writers.get(call.producer());
    if (!call.producer().isEmpty() && writer != null) {
      if (call.epoch() < writer.epoch) {
        return new AppendAnswer.Fenced();
      }
      for (AnsweredAppend earlier : writer.lastAppends) {
        if (call.epoch() == writer.epoch && call.sequence() == earlier.sequence) {
          return earlier.answer;
        }
      }
      if (call.epoch() == writer.epoch && call.sequence() != writer.nextSequence) {
        return new AppendAnswer.OutOfSequence(writer.nextSequence);
      }
    }
    if (call.expectedEnd() >= 0 && call.expectedEnd() != end()) {
      return new AppendAnswer.UnexpectedEnd(end());
    }
    long offset = end();
    call.records().forEach(this::add);
    AppendAnswer.Stored stored = new AppendAnswer.Stored(offset, end());
    if (!call.producer().isEmpty()) {
      rememberAppend(call, stored);
    }
    return stored;
  }

  private void rememberAppend(AppendCall call, AppendAnswer.Stored stored) {
    Writer previous = writers.get(call.producer());
    Writer writer =
        previous != null && previous.epoch == call.epoch()
            ? previous
            : new Writer(call.epoch(), call.sequence());
    writers.put(call.producer(), writer);
    if (call.records().isEmpty()) {
      return;
    }
    writer.nextSequence = call.sequence() + 1;
    writer.lastAppends.addLast(new AnsweredAppend(call.sequence(), stored));
    if (writer.lastAppends.size() > MAX_REMEMBERED_APPENDS) {
      writer.lastAppends.removeFirst();
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

  /**
   * Returns the encoded response to a read from an offset on, with each record as the view has it.
   * Only the last record may exceed the number of bytes.
   */
  byte[] read(long from, long maxBytes, UnaryOperator<byte[]> view) {
    List<byte[]> found = new ArrayList<>();
    long bytes = 0;
    for (int i = (int) from; i < records.size() && bytes < maxBytes; i++) {
      found.add(view.apply(records.get(i)));
      bytes += records.get(i).length;
    }
    return StoreRecords.encode(end(), firstKept, found);
  }

  /**
   * Returns the newest record of each key as the view has its value, from the first key after
   * {@code afterKey} on. An empty {@code afterKey} stands for the start.
   */
  Page newest(String afterKey, UnaryOperator<byte[]> view) {
    var following = afterKey.isEmpty() ? newest : newest.tailMap(afterKey, false);
    List<Newest> items =
        following.values().stream().limit(MAX_PAGE_RECORDS).map(item -> item.seenBy(view)).toList();
    return new Page(items, following.size() > items.size(), end());
  }
}
