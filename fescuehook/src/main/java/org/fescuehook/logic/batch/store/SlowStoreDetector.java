package org.fescuehook.logic.batch.store;

import java.time.Duration;

/**
 * Tells when the store begins to take long for appends, and when it no longer does. Each stage of a
 * job waits for the append under way and for its own, so a store that takes 0.7 s makes short jobs
 * late by seconds, though nothing fails and nothing is refused.
 */
public final class SlowStoreDetector {

  /**
   * Three of them, which each job goes through, use up the spare time of the shortest urgent jobs.
   */
  private static final Duration SLOW = Duration.ofMillis(150);

  /** Some ten times the usual answer of 4 ms. */
  private static final Duration QUICK = Duration.ofMillis(50);

  private boolean slow;

  /** What an append has shown. */
  public enum Transition {
    /** The store takes long from here on. */
    SLOWER,
    /** The store is quick again. */
    QUICKER,
    /** As before. */
    NONE
  }

  /** Takes in how long an append took until it was stored. */
  public Transition stored(Duration time) {
    if (!slow && time.compareTo(SLOW) > 0) {
      slow = true;
      return Transition.SLOWER;
    }
    if (slow && time.compareTo(QUICK) < 0) {
      slow = false;
      return Transition.QUICKER;
    }
    return Transition.NONE;
  }
}
