package org.fescuehook.bench.caller;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** What a caller sees of its request. */
public sealed interface CallerOutcome {

  /**
   * A whole answer.
   *
   * @param headers names in lower case
   * @param nanos time from sending to the end of the answer
   */
  record Answered(int status, Map<String, String> headers, byte[] body, long nanos)
      implements CallerOutcome {

    /** Returns the body as text. */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    /** Tells whether the answer says for certain that the request was not run. */
    public boolean notRun() {
      return status >= 400 && text().contains("\"ran\":\"no\"");
    }
  }

  /** An answer began and did not end. */
  record Cut(String detail) implements CallerOutcome {}

  /** The request was sent and no answer began. */
  record Unanswered(String detail) implements CallerOutcome {}

  /** No connection was there to send the request on. */
  record NotSent(String detail) implements CallerOutcome {}
}
