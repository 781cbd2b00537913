package org.fescuehook.platform;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the adapter to the users' platform. */
public enum PlatformEvent implements NumberedEvent {
  /** A stream of the store cannot be read. */
  STREAM_LOST(8200, "Stream {} of the store at {} cannot be read: {}"),
  /** A stream of the store can be read again. */
  STREAM_BACK(8201, "Stream {} of the store at {} read again after {} ms, end {}"),
  /** Records of a stream have expired before they were read. */
  RECORDS_EXPIRED(
      8202, "Stream {}: records before {} have expired, reading the newest value of each key"),
  /** A record cannot be read. */
  RECORD_UNREADABLE(8203, "Record {} of stream {} cannot be read: {}"),
  /** An append was not stored, or its outcome is unknown. */
  APPEND_TROUBLE(
      8204, "Append with epoch {} and sequence number {} to stream {} was not confirmed: {}"),
  /** Several configurations were read at once, and only the newest was put in force. */
  CONFIGURATIONS_SKIPPED(
      8205, "Skipped {} configurations superseded by version {} in the same read"),
  /** Appends to the store have become slow. */
  STORE_SLOW(8206, "Appends to {} are slow: the last one took {} ms"),
  /** Appends to the store are fast again. */
  STORE_QUICK(8207, "Appends to {} are fast again: the last one took {} ms"),
  /** The record that evacuates a failure domain has content, which has no meaning here. */
  FIELDS_IGNORED(8208, "Evacuation of failure domain {}: fields {} ignored"),
  /** The newest records of a stream could not be handled at once. */
  RECORDS_APPLIED_SINGLY(
      8209,
      "Stream {}: its {} newest records up to {} were applied one by one, removed keys may remain"),
  /** A record of a keyed topic has no key, or one that exceeds the record. */
  RECORD_WITHOUT_KEY(8210, "Record at offset {} with {} bytes has a key of {} and is left out"),
  /** A caller's connection was closed after an error. */
  CALLER_FAULT(8211, "Connection of caller {} closed: {}"),
  /** A request could not be handled because of an error, and was answered as undecided. */
  CALL_FAILED(8212, "Request {} {} of a caller could not be handled");

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
