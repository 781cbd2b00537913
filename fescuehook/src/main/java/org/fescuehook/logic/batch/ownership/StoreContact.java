package org.fescuehook.logic.batch.ownership;

import java.time.Duration;

/**
 * What an owner knows of its way to the store.
 *
 * @param confirmedAt when the last heartbeat that the store confirmed was sent, monotonic time
 * @param lastAppendNanos how long the last heartbeat took
 * @param longestAppendNanos how long its heartbeats have taken lately, at most
 */
public record StoreContact(long confirmedAt, long lastAppendNanos, long longestAppendNanos) {

  /**
   * Returns the age of the last confirmed heartbeat up to which the store is at hand: one is under
   * way then, and the next one after it.
   *
   * @param least the age that is usual while the store is quick
   */
  public long nearNanos(Duration least) {
    return Math.max(least.toNanos(), OwnershipTimeouts.HEARTBEAT_NANOS + 2 * longestAppendNanos);
  }
}
