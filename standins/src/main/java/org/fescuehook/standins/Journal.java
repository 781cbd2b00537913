package org.fescuehook.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * The last entries of what happened. Any thread may add; the oldest are overwritten.
 *
 * @param <T> immutable entry
 */
public final class Journal<T> {
  private final AtomicReferenceArray<T> ring;
  private final AtomicLong next = new AtomicLong();

  /** Creates a journal that keeps up to {@code limit} entries. */
  public Journal(int limit) {
    this.ring = new AtomicReferenceArray<>(limit);
  }

  /** Adds an entry and returns its index, for {@link #replace}. */
  public int add(T entry) {
    int index = (int) (next.getAndIncrement() % ring.length());
    ring.set(index, entry);
    return index;
  }

  /** Replaces an entry, unless it was overwritten meanwhile. */
  public void replace(int index, T old, T replacement) {
    ring.compareAndSet(index, old, replacement);
  }

  /** Returns the entries that are left, oldest first. */
  public List<T> entries() {
    List<T> entries = new ArrayList<>();
    long end = next.get();
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
    return Math.max(0, next.get() - ring.length());
  }
}
