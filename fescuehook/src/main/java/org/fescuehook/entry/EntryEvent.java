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
  /** The service port accepts nothing new. */
  DRAINING(7004, "service port accepts nothing new; {} requests in flight"),
  /** Requests were still in flight when the drain limit passed. */
  DRAIN_LIMIT(7005, "drain limit of {} ms passed with {} requests in flight"),
  /** Ownership was handed over, or the hand-over had no answer. */
  HANDED_OVER(7006, "hand-over of ownership: {}"),
  /** The process is about to end. */
  STOPPED(7007, "graceful stop ended after {} ms"),
  /** This VM takes work. */
  READY(7008, "ready"),
  /** This VM takes no work. */
  NOT_READY(7009, "not ready: {}"),
  /** The decision core met a fault while folding a record. */
  DECISIONS_HALTED(7010, "decisions halted at offset {}; this VM decides nothing until restarted"),
  /** The decision core met a fault while handling another event. */
  DECISION_FAULT(7011, "decision core met a fault on {} and goes on"),
  /** A configuration came into force. */
  CONFIGURATION_IN_FORCE(7012, "configuration {} of {} is in force, from the {}"),
  /** A configuration sent by a peer cannot be read. */
  PEER_CONFIGURATION_REFUSED(7013, "configuration {} sent by a peer cannot be read: {}"),
  /** A command of the decision core could not be carried out. */
  COMMAND_FAULT(7014, "command {} of the decision core met a fault");

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
