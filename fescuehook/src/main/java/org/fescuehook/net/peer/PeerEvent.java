package org.fescuehook.net.peer;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the protocol between entry VMs. */
public enum PeerEvent implements NumberedEvent {
  /** This VM refused a connection of a peer. */
  REFUSED(5001, "refused peer connection from {}: {} ({})"),
  /** A peer refused the connection of this VM. */
  REFUSED_BY_PEER(5002, "peer {} at {} refused this VM: {}"),
  /** A link to a peer came up. */
  LINK_UP(5003, "link to peer {} at {} is up"),
  /** A link to a peer went down. */
  LINK_DOWN(5004, "link to peer {} at {} is down: {}");

  private final int number;
  private final String format;

  PeerEvent(int number, String format) {
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
