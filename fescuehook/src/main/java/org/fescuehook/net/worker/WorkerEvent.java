package org.fescuehook.net.worker;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the workers' adapter. */
public enum WorkerEvent implements NumberedEvent {
  /** A command had no answer in time. */
  SILENT(4001, "no answer to {} from worker {}: {}"),
  /** An answer fits no reply. */
  BAD_ANSWER(4002, "unusable answer to {} from worker {}: {}");

  private final int number;
  private final String format;

  WorkerEvent(int number, String format) {
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
