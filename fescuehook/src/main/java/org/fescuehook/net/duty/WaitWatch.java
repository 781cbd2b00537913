package org.fescuehook.net.duty;

import java.time.Duration;
import java.util.OptionalLong;

/** Decides when to tell that a duty is behind its ring, so that the log stays short under load. */
final class WaitWatch {

  /** Wait of an item from which on the duty counts as behind; ten ticks of the decisions. */
  private static final long BEHIND_NANOS = Duration.ofMillis(500).toNanos();

  /** Least time between two log events of one ring. */
  private static final long PAUSE_NANOS = Duration.ofSeconds(1).toNanos();

  private OptionalLong toldAt = OptionalLong.empty();

  /**
   * Tells whether to log that an item has waited.
   *
   * @param waitNanos how long it has waited
   * @param nowNanos monotonic time
   */
  boolean tells(long waitNanos, long nowNanos) {
    boolean justTold = toldAt.isPresent() && nowNanos - toldAt.getAsLong() < PAUSE_NANOS;
    if (waitNanos <= BEHIND_NANOS || justTold) {
      return false;
    }
    toldAt = OptionalLong.of(nowNanos);
    return true;
  }
}
