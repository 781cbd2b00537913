package org.fescuehook.platform;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;

/** How long callers wait for their answers. */
final class CallerPatience {

  private static final String HEADER = "Deadline-Ms";

  /** Patience of a caller that does not tell it. */
  private static final long USUAL_MILLIS = 3000;

  /** No call is held longer, whatever its caller tells. */
  private static final long LONGEST_MILLIS = 30_000;

  /** The time that the request and its answer take on their way to and from the caller. */
  private static final long WAY_MILLIS = 200;

  private CallerPatience() {}

  /** Returns how long an answer to a request that has just come is of use. */
  static Duration of(HttpHeaders headers) {
    long told = Math.min(LONGEST_MILLIS, told(headers.get(HEADER, "")));
    return Duration.ofMillis(Math.max(told - WAY_MILLIS, Math.ceilDiv(told, 2)));
  }

  private static long told(String value) {
    try {
      long millis = Long.parseLong(value.strip());
      return millis > 0 ? millis : USUAL_MILLIS;
    } catch (NumberFormatException e) {
      return USUAL_MILLIS;
    }
  }
}
