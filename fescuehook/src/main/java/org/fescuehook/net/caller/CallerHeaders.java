package org.fescuehook.net.caller;

import io.netty.util.AsciiString;

/** Names of the headers that callers set. */
final class CallerHeaders {
  /** The caller's own id, unique per organisation. */
  static final AsciiString REQUEST_ID = AsciiString.cached("Request-Id");

  /** Time for which the caller waits, in milliseconds. */
  static final AsciiString REQUEST_TIMEOUT = AsciiString.cached("Request-Timeout-Ms");

  /** Whether the request goes before others. */
  static final AsciiString URGENT = AsciiString.cached("Urgent");

  private CallerHeaders() {}
}
