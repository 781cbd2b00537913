package org.fescuehook.net.caller;

import org.fescuehook.model.request.RefusalReason;

/** A caller's request is wrong; the message says what. */
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
