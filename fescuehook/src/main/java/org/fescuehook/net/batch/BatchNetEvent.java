package org.fescuehook.net.batch;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the connections between entry VMs about batch jobs. */
public enum BatchNetEvent implements NumberedEvent {
  /** A peer's connection broke, or it sent what cannot be read. */
  PEER_FAULT(8100, "Connection of peer {} closed: {}"),
  /** The owner can be reached. */
  OWNER_CONNECTED(8101, "Connected to the owner at {}"),
  /** The owner cannot be reached. */
  OWNER_UNREACHABLE(8102, "Owner at {} unreachable: {}"),
  /** The connection to the owner was closed. */
  OWNER_DISCONNECTED(8103, "Connection to the owner at {} closed: {}, {} calls open"),
  /** The connection is silent: open calls are sent again over a new one. */
  OWNER_SILENT(8104, "Nothing from the owner at {} for {} ms, {} calls are sent again");

  private final int number;
  private final String format;

  BatchNetEvent(int number, String format) {
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
