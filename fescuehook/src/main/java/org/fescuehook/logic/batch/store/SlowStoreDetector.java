package org.fescuehook.logic.batch.store;

import java.time.Duration;

/**
 * Detects when appends to the store become slow, and when they are fast again. Each stage of a job
 * waits for the append under way and for its own, so a store that takes 0.7 s delays short jobs by
 * seconds, although nothing fails or is refused.
 */
public final class SlowStoreDetector {

  /**
   * Appends above this time count as slow. Each job goes through three of them, which use up the
   * spare time of the shortest urgent jobs.
   */
  private static final Duration SLOW_THRESHOLD = Duration.ofMillis(150);

  /** Appends below this time show that the store is fast again; about ten times its usual 4 ms. */
  private static final Duration RECOVERY_THRESHOLD = Duration.ofMillis(50);

  private boolean slow;

  /** The change that an append has shown. */
  public enum Transition {
    /** The store has become slow. */
    SLOWER,
    /** The store is fast again. */
    QUICKER,
    /** No change. */
    NONE
  }

  /** Records how long an append took until it was stored. */
  public Transition stored(Duration time) {
    if (!slow && time.compareTo(SLOW_THRESHOLD) > 0) {
      slow = true;
      return Transition.SLOWER;
    }
    if (slow && time.compareTo(RECOVERY_THRESHOLD) < 0) {
      slow = false;
      return Transition.QUICKER;
    }
    return Transition.NONE;
  }
}
