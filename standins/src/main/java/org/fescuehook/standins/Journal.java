package org.fescuehook.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * A bounded journal, in which new entries overwrite the oldest ones. Thread-safe.
 *
 * @param <T> type of the entries, which must be immutable
 */
public final class Journal<T> {
  private final AtomicReferenceArray<T> ring;
  private final AtomicLong nextIndex = new AtomicLong();

  /** Creates a journal that keeps up to {@code limit} entries. */
  public Journal(int limit) {
    this.ring = new AtomicReferenceArray<>(limit);
  }

  /** Adds an entry and returns its index, for {@link #replace}. */
  public int add(T entry) {
    int index = (int) (nextIndex.getAndIncrement() % ring.length());
    ring.set(index, entry);
    return index;
  }

  /** Replaces an entry, unless it has been overwritten. */
  public void replace(int index, T expected, T replacement) {
    ring.compareAndSet(index, expected, replacement);
  }

  /** Returns the entries that have not been overwritten, oldest first. */
  public List<T> entries() {
    List<T> entries = new ArrayList<>();
    long end = nextIndex.get();
    for (long i = Math.max(0, end - ring.length()); i < end; i++) {
      T entry = ring.get((int) (i % ring.length()));
      if (entry != null) {
        entries.add(entry);
      }
    }
    return entries;
  }

  /** Returns how many entries were overwritten. */
  public long dropped() {
    return Math.max(0, nextIndex.get() - ring.length());
  }
}
