package org.fescuehook.logic.dispatch;

import java.util.random.RandomGenerator;

/** Computes the delay before a retry: exponential backoff with full jitter. */
final class Backoff {
  static final long BASE_MILLIS = 10;
  static final long CAP_MILLIS = 500;

  private final RandomGenerator random;

  Backoff(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the delay before the next dispatch of a request that was dispatched {@code dispatches}
   * times.
   */
  long delayMillis(int dispatches) {
    long maxMillis = Math.min(CAP_MILLIS, BASE_MILLIS << Math.min(10, dispatches));
    return random.nextLong(maxMillis + 1);
  }
}
