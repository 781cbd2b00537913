package org.fescuehook.net.duty;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of duty threads. */
public enum DutyEvent implements NumberedEvent {
  /** A step ended by a fault of the program; the duty goes on. */
  STEP_FAULT(7201, "duty {} met a fault and goes on"),
  /** A handler of a ring ended by a fault of the program; the ring goes on. */
  RING_FAULT(7202, "ring {} met a fault and goes on"),
  /** What a ring holds waits for long; told at most once a second. */
  RING_BEHIND(7203, "ring {} is behind: an item waited {} ms, {} more wait"),
  /** A ring is ended whose thread has never run; what it holds is lost. */
  RING_NOT_RUNNING(7204, "ring {} is ended: its thread did not run within {} ms");

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
