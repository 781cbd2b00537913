package org.fescuehook.net.batch;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the connections over which entry VMs forward calls about batch jobs. */
public enum BatchNetEvent implements NumberedEvent {
  /** A peer's connection failed, or the peer sent a message that cannot be decoded. */
  PEER_FAULT(8100, "Connection of peer {} closed: {}"),
  /** A connection to the owner was opened. */
  OWNER_CONNECTED(8101, "Connected to the owner at {}"),
  /** No connection to the owner could be opened. */
  OWNER_UNREACHABLE(8102, "Owner at {} unreachable: {}"),
  /** The connection to the owner was closed. */
  OWNER_DISCONNECTED(8103, "Connection to the owner at {} closed: {}, {} calls open"),
  /** The owner answered no probe; open calls are sent again over a new connection. */
  OWNER_SILENT(8104, "Owner at {} silent for {} ms, resending {} calls"),
  /** A peer sent a call that this VM cannot decode, as one of a newer version may. */
  CALL_UNKNOWN(8105, "Call {} of a peer refused, it cannot be decoded: {}");

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
