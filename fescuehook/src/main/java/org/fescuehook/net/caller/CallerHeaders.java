package org.fescuehook.net.caller;

import io.netty.util.AsciiString;

/** Names the request headers that callers set. */
final class CallerHeaders {
  /** Id that the caller gives to its request, unique within its organisation. */
  static final AsciiString REQUEST_ID = AsciiString.cached("Request-Id");

  /** Time for which the caller waits for an answer, in milliseconds. */
  static final AsciiString REQUEST_TIMEOUT = AsciiString.cached("Request-Timeout-Ms");

  /** Whether the request is dispatched before requests that are not urgent. */
  static final AsciiString URGENT = AsciiString.cached("Urgent");

  private CallerHeaders() {}
}
