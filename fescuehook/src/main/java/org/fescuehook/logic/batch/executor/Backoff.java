package org.fescuehook.logic.batch.executor;

import java.time.Duration;

/** A time for which an executor is given no new runs. */
final class Backoff {

  private long until;
  private boolean active;

  /** Begins a backoff, which replaces an earlier one. */
  void begin(Duration length, long nowNanos) {
    active = true;
    until = nowNanos + length.toNanos();
  }

  /** Tells whether the time is not over. */
  boolean active(long nowNanos) {
    if (active && nowNanos - until >= 0) {
      active = false;
    }
    return active;
  }
}
