package org.fescuehook.logic.dispatch;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the request path. */
public enum RequestEvent implements NumberedEvent {
  /** Service port open. */
  SERVICE_PORT_OPEN(2000, "service port open at {}"),
  /** An executor gets nothing for a while. */
  EXECUTOR_EJECTED(2001, "executor {} ejected for {} ms"),
  /** An executor takes connections although pooled ones failed. */
  EXECUTOR_PATH_DEAD(2002, "executor {} reachable by a fresh connection; idle ones closed"),
  /** A record of the stream of requests cannot be read. */
  RECORD_CORRUPT(2003, "record {} of the stream of requests is corrupt, skipped"),
  /** A record of the stream of requests is of a newer version. */
  RECORD_NEWER(2004, "record {} of the stream of requests has version {}; ids are refused"),
  /** Records of the stream of requests vanished before they were read. */
  RECORDS_MISSED(2005, "records {} to {} of the stream of requests vanished unread; ids refused"),
  /** The service port stops accepting. */
  SERVICE_PORT_DRAINING(2006, "service port closed, {} requests in flight"),
  /** A handler failed; a fault of the program. */
  UNEXPECTED(2007, "unexpected failure in {}"),
  /** The bound of the executors ejected at once is reached. */
  EJECTION_CAPPED(2008, "executor {} keeps failing but too many are ejected already");

  private final int number;
  private final String format;

  RequestEvent(int number, String format) {
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
