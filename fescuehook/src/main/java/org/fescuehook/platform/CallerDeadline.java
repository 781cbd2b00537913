package org.fescuehook.platform;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;

/** How long callers wait for their answers. */
final class CallerDeadline {

  private static final String HEADER = "Deadline-Ms";

  /** Patience of a caller that does not tell it. */
  private static final long DEFAULT_MILLIS = 3000;

  /** No call is held longer, whatever its caller tells. */
  private static final long MAX_MILLIS = 30_000;

  /** The time that the request and its answer take on their way to and from the caller. */
  private static final long ROUND_TRIP_MILLIS = 200;

  private CallerDeadline() {}

  /** Returns how long an answer to a request that has just come is of use. */
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
