package org.fescuehook.net.worker;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the communication with workers. */
public enum WorkerEvent implements NumberedEvent {
  /** A command got no usable answer in time. */
  SILENT(4001, "no answer to {} from worker {}: {}"),
  /** A worker sent an answer that is not valid for the command. */
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
