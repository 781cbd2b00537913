package org.fescuehook.logic.batch.executor;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Tracks which run ends reported by one incarnation of an executor have been read, stored and
 * acknowledged. The executor numbers them in ascending order.
 */
final class RunEndTracker {

  /** For each batch of ends that was read together: its last number, and whether it is stored. */
  private final NavigableMap<Long, Boolean> storedByBatch = new TreeMap<>();

  private long lastRead;
  private long lastStored;
  private long lastSent;
  private long lastConfirmed;
  private boolean hidden;

  /** Returns the number of the last end that was read. */
  long lastRead() {
    return lastRead;
  }

  /** Tells whether runs may have ended whose ends the newest list has no room for. */
  boolean hidden() {
    return hidden;
  }

  /** Records whether runs may have ended whose ends the newest list has no room for. */
  void setHidden(boolean mayBeHidden) {
    hidden = mayBeHidden;
  }

  /** Records that ends up to a number were read as one batch, which is not stored yet. */
  void readUpTo(long number) {
    lastRead = Math.max(lastRead, number);
    storedByBatch.put(number, false);
  }

  /**
   * Records that the results of the batch that ends with a number are stored. It can be
   * acknowledged once all earlier batches are stored too, since an acknowledgement covers those as
   * well.
   */
  void markStored(long number) {
    storedByBatch.put(number, true);
    while (!storedByBatch.isEmpty() && storedByBatch.firstEntry().getValue()) {
      lastStored = storedByBatch.pollFirstEntry().getKey();
    }
  }

  /** Tells whether ends have been read but not stored yet. */
  boolean hasUnstored() {
    return !storedByBatch.isEmpty();
  }

  /** Returns the number up to which ends may be acknowledged. */
  long acknowledgeable() {
    return lastStored;
  }

  /** Tells whether there are stored ends that no poll in flight acknowledges. */
  boolean needsAcknowledgement() {
    return lastStored > lastSent;
  }

  /**
   * Returns the number up to which the next poll acknowledges ends; 0 if no acknowledgement is due.
   * A number sent without need could reach another incarnation and acknowledge its ends unread.
   */
  long numberToAcknowledge() {
    return lastStored > lastConfirmed ? lastStored : 0;
  }

  /** Records up to which number a poll acknowledges ends. */
  void acknowledgementSent(long number) {
    lastSent = Math.max(lastSent, number);
  }

  /** Records that the poll was answered. */
  void acknowledgementConfirmed() {
    lastConfirmed = lastSent;
  }

  /** Records that the poll was not answered. */
  void acknowledgementLost() {
    lastSent = lastConfirmed;
  }
}
