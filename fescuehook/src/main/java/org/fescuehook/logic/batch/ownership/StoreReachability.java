package org.fescuehook.logic.batch.ownership;

import java.time.Duration;

/**
 * How well the owner reaches the store.
 *
 * @param confirmedAt when the last heartbeat that the store confirmed was sent, monotonic time
 * @param lastAppendNanos duration of the last heartbeat append
 * @param longestAppendNanos longest recent duration of a heartbeat append
 */
public record StoreReachability(long confirmedAt, long lastAppendNanos, long longestAppendNanos) {

  /**
   * Returns the age of the last confirmed heartbeat up to which the store counts as reachable. It
   * allows for a heartbeat in flight and for the next one after it.
   *
   * @param least the age that is usual while the store is fast
   */
  public long maxHeartbeatAgeNanos(Duration least) {
    return Math.max(least.toNanos(), OwnershipTimeouts.HEARTBEAT_NANOS + 2 * longestAppendNanos);
  }
}
