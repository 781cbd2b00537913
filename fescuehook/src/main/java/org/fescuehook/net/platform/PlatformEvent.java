package org.fescuehook.net.platform;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the log service and the list of VMs. */
public enum PlatformEvent implements NumberedEvent {
  /** A read of a stream failed after earlier ones succeeded. */
  LOG_UNREACHABLE(3001, "cannot read stream {}: {}"),
  /** Reads of a stream succeed again. */
  LOG_REACHABLE(3002, "stream {} is read again after {} ms"),
  /** The log answered with an older end than before. */
  LOG_WENT_BACK(3003, "stream {} ends at {} although {} was read before; waiting for it"),
  /** Records expired by retention before this VM read them. */
  RECORDS_EXPIRED(3004, "stream {} starts at {}, {} records before it were not read"),
  /** An append got no answer, so its effect is unknown. */
  APPEND_UNKNOWN(3005, "an append to {} may or may not be in the log: {}"),
  /** The list cannot be fetched. */
  LIST_UNREACHABLE(3006, "cannot fetch the list of VMs: {}"),
  /** The list is fetched again. */
  LIST_REACHABLE(3007, "the list of VMs is fetched again"),
  /** A member of the list has no IP address. */
  MEMBER_WITHOUT_ADDRESS(3008, "VM {} on the list has no IP address but {}");

  private final int number;
  private final String format;

  PlatformEvent(int number, String format) {
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
