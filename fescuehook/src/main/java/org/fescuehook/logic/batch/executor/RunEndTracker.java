package org.fescuehook.logic.batch.executor;

import java.util.NavigableMap;
import java.util.TreeMap;

/** Which ends of one life of an executor have been read, stored and acknowledged. */
final class RunEndTracker {

  /** Last numbers of the ends that were taken in together, and whether they are stored. */
  private final NavigableMap<Long, Boolean> taken = new TreeMap<>();

  private long seen;
  private long stored;
  private long sent;
  private long known;

  /** Returns the number of the last end that was taken in. */
  long seen() {
    return seen;
  }

  /** Remembers that ends up to a number were taken in together; they are not stored yet. */
  void sawUpTo(long number) {
    seen = Math.max(seen, number);
    taken.put(number, false);
  }

  /**
   * Takes in that what follows from the ends that were taken in up to a number is stored. They are
   * acknowledged once all earlier ones are stored too, since an acknowledgement covers those.
   */
  void stored(long number) {
    taken.put(number, true);
    while (!taken.isEmpty() && taken.firstEntry().getValue()) {
      stored = taken.pollFirstEntry().getKey();
    }
  }

  /** Tells whether ends that were taken in are not stored yet. */
  boolean unstored() {
    return !taken.isEmpty();
  }

  /** Returns the number up to which ends may be acknowledged. */
  long acknowledgeable() {
    return stored;
  }

  /** Tells whether ends have been stored that no poll under way acknowledges. */
  boolean owes() {
    return stored > sent;
  }

  /**
   * Returns the number that the next poll acknowledges ends up to; 0 if none is owed, since a
   * number that is sent for nothing would cover ends of another life that the poll may come to.
   */
  long owed() {
    return stored > known ? stored : 0;
  }

  /** Remembers what a poll acknowledges. */
  void sent(long number) {
    sent = Math.max(sent, number);
  }

  /** Remembers that the poll was answered. */
  void answered() {
    known = sent;
  }

  /** Remembers that the poll had no answer. */
  void missed() {
    sent = known;
  }
}
