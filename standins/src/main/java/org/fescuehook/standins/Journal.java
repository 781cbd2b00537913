package org.fescuehook.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * The last entries of what happened. Any thread may add; beyond the limit the oldest are
 * overwritten.
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

  /** Adds an entry and returns its sequence number. */
  public long add(T entry) {
    long sequence = next.getAndIncrement();
    ring.set(index(sequence), entry);
    return sequence;
  }

  /** Replaces an entry, unless it was overwritten meanwhile. */
  public void replace(long sequence, T old, T replacement) {
    ring.compareAndSet(index(sequence), old, replacement);
  }

  /** Returns the entries that are left, oldest first. */
  public List<T> entries() {
    long end = next.get();
    List<T> entries = new ArrayList<>();
    for (long s = Math.max(0, end - ring.length()); s < end; s++) {
      T entry = ring.get(index(s));
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

  private int index(long sequence) {
    return (int) (sequence % ring.length());
  }
}
