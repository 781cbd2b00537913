package org.fescuehook.net.duty;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides when to log that items of a ring wait for too long, and limits the rate of these log
 * events under load.
 */
final class WaitWatch {

  /** Wait of an item above which the duty is considered behind: ten ticks of the decision duty. */
  private static final long BEHIND_NANOS = Duration.ofMillis(500).toNanos();

  /** Minimum time between two log events of one ring. */
  private static final long PAUSE_NANOS = Duration.ofSeconds(1).toNanos();

  private OptionalLong toldAt = OptionalLong.empty();

  /**
   * Returns whether to log the wait of an item.
   *
   * @param waitNanos time for which the item has waited
   * @param nowNanos current monotonic time
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
