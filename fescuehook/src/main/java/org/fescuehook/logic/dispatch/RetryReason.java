package org.fescuehook.logic.dispatch;

import java.util.Locale;

/** Why a request was dispatched again. Each has a counter. */
public enum RetryReason {
  /** The executor accepted no connection. */
  CONNECT_FAILED,
  /** No connection was free. */
  NO_CONNECTION,
  /** The pooled connection was closed before the write. */
  CONNECTION_CLOSED,
  /** The executor said that it has not run the request. */
  REFUSED_NOT_RUN,
  /** The connection broke; repeatable requests only. */
  CONNECTION_LOST,
  /** The answer was no answer to the request; repeatable requests only. */
  BAD_ANSWER,
  /** No sign of life came; repeatable requests only. */
  NO_PROGRESS;

  /** Returns the metric tag. */
  public String slug() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
