package org.fescuehook.logic.batch.maintenance;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the calls in any second, or in a longer time where less than one a second is allowed. */
final class CallLimit {

  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  /** Part of the rate that is used; the network brings calls closer together. */
  private static final double USED_SHARE = 0.8;

  private final int most;
  private final long windowNanos;
  private final Deque<Long> sentAt = new ArrayDeque<>();

  CallLimit(double callsPerSecond) {
    double used = callsPerSecond * USED_SHARE;
    this.most = Math.max(1, (int) used);
    this.windowNanos = Math.round(SECOND_NANOS * Math.max(1, 1 / used));
  }

  /** Tells whether a call may be made now, and counts it if so. */
  boolean take(long nowNanos) {
    while (!sentAt.isEmpty() && nowNanos - sentAt.getFirst() >= windowNanos) {
      sentAt.removeFirst();
    }
    if (sentAt.size() >= most) {
      return false;
    }
    sentAt.addLast(nowNanos);
    return true;
  }
}
