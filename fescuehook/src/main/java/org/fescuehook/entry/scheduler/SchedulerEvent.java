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
  /** This VM accepts calls. */
  READY(8304, "ready"),
  /** This VM accepts no calls. */
  NOT_READY(8305, "not ready: {}"),
  /**
   * The operator asked by SIGHUP to reload the settings, which takes effect at the next start only.
   */
  RELOAD_ASKED(8306, "settings changed: they are read at the next start"),
  /** The decision core or the execution of one of its commands threw an exception. */
  DECISION_FAULT(8307, "exception while processing {}"),
  /** The queue of the decision thread is full, and an event was dropped. */
  RING_FULL(8308, "queue of the decision thread is full: {} dropped"),
  /** A call was answered. */
  CALL_ANSWERED(8309, "Call {} of {} answered {} after {} ms"),
  /** Log lines were dropped as standard output accepted them too slowly. */
  LOG_LINES_DROPPED(8310, "{} log lines dropped, {} of them decisions, logged from {} to {}"),
  /** A setting for maintenance waves cannot be used, so none is carried out. */
  MAINTENANCE_SETTING_UNUSABLE(8311, "No maintenance waves, a setting cannot be used: {}");

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
