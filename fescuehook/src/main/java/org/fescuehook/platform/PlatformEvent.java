package org.fescuehook.platform;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the adapter to the users' platform. */
public enum PlatformEvent implements NumberedEvent {
  /** A stream of the store cannot be read. */
  STREAM_LOST(8200, "Stream {} of the store at {} cannot be read: {}"),
  /** A stream of the store can be read again. */
  STREAM_BACK(8201, "Stream {} of the store at {} read again after {} ms, end {}"),
  /** Records of a stream have expired before they were read. */
  RECORDS_EXPIRED(8202, "Stream {}: records before {} have expired, newest values are read"),
  /** A record cannot be read. */
  RECORD_UNREADABLE(8203, "Record {} of stream {} cannot be read: {}"),
  /** An append was not taken. */
  APPEND_TROUBLE(8204, "Append {} {} to stream {}: {}"),
  /** Configurations came faster than they were put in force. */
  CONFIGURATIONS_SKIPPED(8205, "{} configurations skipped, as version {} came together with them"),
  /** The store begins to take long for appends. */
  STORE_SLOW(8206, "Appends to {} are slow: the last one took {} ms"),
  /** The store is quick again. */
  STORE_QUICK(8207, "Appends to {} are quick again: the last one took {} ms"),
  /** The port of callers has a fault. */
  CALLER_FAULT(8211, "Connection of caller {} closed: {}");

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
