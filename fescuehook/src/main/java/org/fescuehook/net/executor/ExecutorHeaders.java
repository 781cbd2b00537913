package org.fescuehook.net.executor;

import io.netty.util.AsciiString;

/** Names the headers of requests and answers between entry VMs and executors. */
public final class ExecutorHeaders {
  /** Token unique to one dispatch; the executor repeats it in its answer. */
  public static final AsciiString REQUEST_TOKEN = AsciiString.cached("request-token");

  /** Milliseconds that remained until the deadline when the request was sent. */
  public static final AsciiString REQUEST_DEADLINE = AsciiString.cached("request-deadline-ms");

  /** Organisation to which the request belongs. */
  public static final AsciiString ORGANISATION = AsciiString.cached("organisation");

  /** Whether the request may safely be run more than once. */
  public static final AsciiString REPEATABLE = AsciiString.cached("repeatable");

  /** Set by an executor that refuses a request without having run it. */
  public static final AsciiString NOT_RUN = AsciiString.cached("not-run");

  private ExecutorHeaders() {}
}
