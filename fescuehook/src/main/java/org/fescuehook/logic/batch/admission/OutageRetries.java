package org.fescuehook.logic.batch.admission;

import java.time.Duration;

/** How callers' tries span an outage of the store. */
final class OutageRetries {

  /** Number of times that a caller tries, the first try included. */
  static final int CALLER_TRIES = 5;

  /** The longest outage that the users expect. */
  private static final long LONGEST_OUTAGE_MILLIS = Duration.ofSeconds(12).toMillis();

  /** Time for which an outage is expected to go on when it has lasted longer than that. */
  private static final long LEAST_REMAINING_MILLIS = Duration.ofSeconds(4).toMillis();

  private static final long MIN_DELAY_MILLIS = 1000;

  private OutageRetries() {}

  /**
   * Returns the shortest delay of a retry with which the tries that a caller has left span the rest
   * of an outage, also if it is the longest that is expected.
   *
   * @param outageAgeMillis how long the outage has lasted
   * @param refusals how often the caller has been refused, this time included
   */
  static long minDelayMillis(long outageAgeMillis, int refusals) {
    int left = Math.max(1, CALLER_TRIES - refusals);
    long remaining = Math.max(LEAST_REMAINING_MILLIS, LONGEST_OUTAGE_MILLIS - outageAgeMillis);
    return Math.max(MIN_DELAY_MILLIS, Math.ceilDiv(remaining, left));
  }
}
