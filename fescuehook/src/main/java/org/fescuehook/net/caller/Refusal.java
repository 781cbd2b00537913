package org.fescuehook.net.caller;

import org.fescuehook.model.request.RefusalReason;

/**
 * Why a caller gets no answer of a backend server.
 *
 * @param detail explanation for a reader
 * @param retryAfterSeconds when to come back; 0 for no advice
 */
record Refusal(RefusalReason reason, String detail, int retryAfterSeconds) {

  /** A refusal after which the same request is no better later, or at once. */
  static Refusal of(RefusalReason reason, String detail) {
    return new Refusal(reason, detail, reason.retryable() ? 1 : 0);
  }
}
