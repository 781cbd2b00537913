package org.fescuehook.entry.scheduler;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the process of a VM that schedules batch jobs. */
public enum SchedulerEvent implements NumberedEvent {
  /** The process listens on all its ports. */
  STARTED(8300, "VM {} started, incarnation {}: callers {}, peers {}, store {}, after {} ms"),
  /** The process could not start. */
  START_FAILED(8301, "start failed: {}"),
  /** The graceful stop began. */
  STOP_BEGAN(8302, "graceful stop began: not ready from now on"),
  /** The process is about to end. */
  STOPPED(8303, "graceful stop ended after {} ms with {} calls unanswered"),
  /** This VM takes calls. */
  READY(8304, "ready"),
  /** This VM takes no calls. */
  NOT_READY(8305, "not ready: {}"),
  /** The settings file changed while the process runs. */
  RELOAD_ASKED(8306, "settings changed: they are read at the next start"),
  /** The decision core met a fault. */
  DECISION_FAULT(8307, "decision core met a fault on {}"),
  /** The ring in front of the decisions is full. */
  RING_FULL(8308, "decisions are behind: {} dropped"),
  /** A call was answered. */
  CALL_ANSWERED(8309, "Call {} of {} answered {} after {} ms"),
  /** Standard output took lines too slowly. */
  LOG_LINES_DROPPED(8310, "{} log lines dropped, {} of them decisions, logged from {} to {}");

  private final int number;
  private final String format;

  SchedulerEvent(int number, String format) {
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
