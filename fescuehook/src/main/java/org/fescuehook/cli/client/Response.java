package org.fescuehook.cli.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalInt;

/**
 * Holds an HTTP response of an entry VM.
 *
 * @param status HTTP status code
 * @param body JSON body; a missing node if the body is empty
 * @param retryAfterSeconds value of the {@code Retry-After} header, if there is one
 */
public record Response(int status, JsonNode body, OptionalInt retryAfterSeconds) {

  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;

  /** Returns whether the status code reports success (2xx). */
  public boolean successful() {
    return status >= OK && status < MULTIPLE_CHOICES;
  }
}
