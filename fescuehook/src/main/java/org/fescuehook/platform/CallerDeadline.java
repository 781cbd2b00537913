package org.fescuehook.platform;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;

/** Reads how long a caller waits for its answer. */
final class CallerDeadline {

  private static final String HEADER = "Deadline-Ms";

  /** Deadline of a caller that sends no valid header. */
  private static final long DEFAULT_MILLIS = 3000;

  /** Upper bound on the deadline that a caller can request. */
  private static final long MAX_MILLIS = 30_000;

  /** Network time reserved for the request and its answer. */
  private static final long ROUND_TRIP_MILLIS = 200;

  private CallerDeadline() {}

  /**
   * Returns the time within which a request that has just arrived has to be answered. The network
   * time is subtracted, but never more than half of the caller's deadline.
   */
  static Duration of(HttpHeaders headers) {
    long requested = Math.min(MAX_MILLIS, requestedMillis(headers.get(HEADER, "")));
    return Duration.ofMillis(Math.max(requested - ROUND_TRIP_MILLIS, Math.ceilDiv(requested, 2)));
  }

  private static long requestedMillis(String value) {
    try {
      long millis = Long.parseLong(value.strip());
      return millis > 0 ? millis : DEFAULT_MILLIS;
    } catch (NumberFormatException e) {
      return DEFAULT_MILLIS;
    }
  }
}
