package org.fescuehook.net.duty;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides when to log that items of a ring wait for too long, and limits the rate of these log
 * events under load.
 */
final class BacklogLogThrottle {

  /** Wait of an item above which the duty is considered behind: ten ticks of the decision duty. */
  private static final long BACKLOG_THRESHOLD_NANOS = Duration.ofMillis(500).toNanos();

  /** Minimum time between two log events of one ring. */
  private static final long MIN_LOG_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

  private OptionalLong lastLoggedNanos = OptionalLong.empty();

  /**
   * Returns whether to log the wait of an item.
   *
   * @param waitNanos time for which the item has waited
   * @param nowNanos current monotonic time
   */
  boolean shouldLog(long waitNanos, long nowNanos) {
    boolean loggedRecently =
        lastLoggedNanos.isPresent()
            && nowNanos - lastLoggedNanos.getAsLong() < MIN_LOG_INTERVAL_NANOS;
    if (waitNanos <= BACKLOG_THRESHOLD_NANOS || loggedRecently) {
      return false;
    }
    lastLoggedNanos = OptionalLong.of(nowNanos);
    return true;
  }
}
