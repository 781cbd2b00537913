package org.fescuehook.logic.dispatch;

import java.util.Locale;

/** Why a request was dispatched again. Each reason has its own counter. */
public enum RetryReason {
  /** The connection to the executor could not be opened. */
  CONNECT_FAILED,
  /** No connection to the executor was free. */
  NO_CONNECTION,
  /** The pooled connection was closed before the request was written. */
  CONNECTION_CLOSED,
  /** The executor reported that it did not run the request. */
  REFUSED_NOT_RUN,
  /** The connection was lost; only repeatable requests are retried. */
  CONNECTION_LOST,
  /** The answer was invalid; only repeatable requests are retried. */
  BAD_ANSWER,
  /** The connection made no progress; only repeatable requests are retried. */
  NO_PROGRESS;

  /** Returns the value of the metric's tag. */
  public String slug() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
