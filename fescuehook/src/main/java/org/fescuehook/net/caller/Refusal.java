package org.fescuehook.net.caller;

import org.fescuehook.model.request.RefusalReason;

/**
 * States why a caller gets no answer from a backend server.
 *
 * @param detail explanation for a human reader
 * @param retryAfterSeconds delay after which to retry; 0 sends no Retry-After header
 */
record Refusal(RefusalReason reason, String detail, int retryAfterSeconds) {

  /** Returns a refusal that advises a retry after one second if its reason is retryable. */
  static Refusal of(RefusalReason reason, String detail) {
    return new Refusal(reason, detail, reason.retryable() ? 1 : 0);
  }
}
