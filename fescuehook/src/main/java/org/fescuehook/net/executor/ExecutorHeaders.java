package org.fescuehook.net.executor;

import io.netty.util.AsciiString;

/** Names of the headers between entry VM and executor. */
public final class ExecutorHeaders {
  /** Unique for one dispatch; the answer repeats it. */
  public static final AsciiString REQUEST_TOKEN = AsciiString.cached("request-token");

  /** Milliseconds left when the request was sent. */
  public static final AsciiString REQUEST_DEADLINE = AsciiString.cached("request-deadline-ms");

  /** Organisation that the request belongs to. */
  public static final AsciiString ORGANISATION = AsciiString.cached("organisation");

  /** Whether running the request twice does no harm. */
  public static final AsciiString REPEATABLE = AsciiString.cached("repeatable");

  /** Says that the executor has not run the request. */
  public static final AsciiString NOT_RUN = AsciiString.cached("not-run");

  private ExecutorHeaders() {}
}
