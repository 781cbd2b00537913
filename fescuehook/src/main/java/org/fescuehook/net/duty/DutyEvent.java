package org.fescuehook.net.duty;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of duty threads and their rings. */
public enum DutyEvent implements NumberedEvent {
  /** A step threw an unexpected exception; the duty continues. */
  STEP_FAULT(7201, "duty {} failed unexpectedly and continues"),
  /** The handler of a ring threw an unexpected exception; the ring continues. */
  RING_FAULT(7202, "handler of ring {} failed unexpectedly and continues"),
  /** Items wait in a ring for long; logged at most once per second. */
  RING_BEHIND(7203, "ring {} is behind: an item waited {} ms, {} more are waiting"),
  /** A ring is stopped whose thread has never run; the items in it are lost. */
  RING_NOT_RUNNING(7204, "ring {} is stopped: its thread did not start within {} ms");

  private final int number;
  private final String format;

  DutyEvent(int number, String format) {
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
