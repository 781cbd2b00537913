package org.fescuehook.logic.dispatch;

import java.util.random.RandomGenerator;

/** Waiting time before a retry: exponential, with full jitter. */
final class Backoff {
  static final long BASE_MILLIS = 10;
  static final long CAP_MILLIS = 500;

  private final RandomGenerator random;

  Backoff(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the wait before the dispatch after {@code dispatches} ones, in milliseconds. */
  long millis(int dispatches) {
    long ceiling = Math.min(CAP_MILLIS, BASE_MILLIS << Math.min(10, dispatches));
    return random.nextLong(ceiling + 1);
  }
}
