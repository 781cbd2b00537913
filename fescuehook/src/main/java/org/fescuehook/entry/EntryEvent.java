package org.fescuehook.entry;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the process of an entry VM. */
public enum EntryEvent implements NumberedEvent {
  /** The process listens on all its ports. */
  STARTED(7001, "entry VM {} started, incarnation {}: service {}, peer {}, operator {}"),
  /** The process could not start. */
  START_FAILED(7002, "start failed at step {} at {}: {}"),
  /** The graceful stop began. */
  STOP_BEGAN(7003, "graceful stop began; this VM is not ready from now on"),
  /** The service port accepts no new requests. */
  DRAINING(7004, "service port accepts nothing new; {} requests in flight"),
  /** The drain limit passed while requests were still in flight. */
  DRAIN_LIMIT(7005, "drain limit of {} ms passed with {} requests in flight"),
  /** Ownership was handed over, or the hand-over was not answered. */
  HANDED_OVER(7006, "hand-over of ownership: {}"),
  /** The process is about to end. */
  STOPPED(7007, "graceful stop ended after {} ms"),
  /** This VM accepts requests and jobs. */
  READY(7008, "ready"),
  /** This VM accepts no requests or jobs. */
  NOT_READY(7009, "not ready: {}"),
  /** The decision core threw an exception while applying a record. */
  DECISIONS_HALTED(7010, "decisions halted at offset {}; this VM decides nothing until restarted"),
  /** The decision core threw an exception while applying an event other than a record. */
  DECISION_FAULT(7011, "exception while processing {}; the decision core continues"),
  /** A configuration came into force. */
  CONFIGURATION_IN_FORCE(7012, "configuration {} of {} is in force, from the {}"),
  /** A configuration sent by a peer cannot be read. */
  PEER_CONFIGURATION_REFUSED(7013, "configuration {} sent by a peer cannot be read: {}"),
  /** The execution of a command of the decision core threw an exception. */
  COMMAND_FAULT(7014, "exception while executing command {}");

  private final int number;
  private final String format;

  EntryEvent(int number, String format) {
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
