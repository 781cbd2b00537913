package org.fescuehook.net.operator;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the operators' port. */
public enum OperatorEvent implements NumberedEvent {
  /** A call had no token or a wrong one. */
  TOKEN_REFUSED(7101, "refused {} {} from {}: wrong or missing token"),
  /** A call was not a valid HTTP request. */
  BAD_REQUEST(7102, "refused call to the operators' port from {}: {}"),
  /** An operator asked this VM to stop. */
  DRAIN_ASKED(7103, "drain requested by {}");

  private final int number;
  private final String format;

  OperatorEvent(int number, String format) {
    this.number = number;
    this.format = format;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public String format() {
    return format;
  }
}
