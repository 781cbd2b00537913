package org.fescuehook.cli.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalInt;

/**
 * Answer of an entry VM.
 *
 * @param status HTTP status
 * @param body JSON body; a missing node if the body is empty
 * @param retryAfterSeconds advice on when to come back
 */
public record Response(int status, JsonNode body, OptionalInt retryAfterSeconds) {

  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;

  /** Tells whether the request was granted. */
  public boolean successful() {
    return status >= OK && status < MULTIPLE_CHOICES;
  }
}
