package org.fescuehook.net.caller;

import org.fescuehook.model.request.RefusalReason;

/** Thrown when a caller's request is invalid; the message is the detail sent to the caller. */
final class MalformedRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final RefusalReason reason;

  MalformedRequestException(RefusalReason reason, String message) {
    super(message);
    this.reason = reason;
  }

  MalformedRequestException(String message) {
    this(RefusalReason.BAD_REQUEST, message);
  }

  RefusalReason reason() {
    return reason;
  }
}
