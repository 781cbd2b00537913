package org.fescuehook.logic.dispatch;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the request path. */
public enum RequestEvent implements NumberedEvent {
  /** The service port accepts connections. */
  SERVICE_PORT_OPEN(2000, "service port open at {}"),
  /** An executor is sent no requests for some time. */
  EXECUTOR_EJECTED(2001, "executor {} ejected for {} ms"),
  /** An executor accepts a new connection although a pooled one failed. */
  EXECUTOR_PATH_DEAD(
      2002,
      "executor {} accepts a new connection although a pooled one failed; idle connections closed"),
  /** A record of the stream of requests cannot be read. */
  RECORD_CORRUPT(2003, "record {} of the stream of requests is corrupt, skipped"),
  /** A record of the stream of requests has a version that this program cannot read. */
  RECORD_NEWER(
      2004,
      "record {} of the stream of requests has unknown version {}; new request ids are refused"),
  /** Records of the stream of requests were deleted before they were read. */
  RECORDS_MISSED(
      2005,
      "records {} to {} of the stream of requests were deleted unread; new request ids are refused"),
  /** The service port stops accepting requests because the VM shuts down. */
  SERVICE_PORT_DRAINING(2006, "service port closed, {} requests in flight"),
  /** A handler failed unexpectedly because of a bug. */
  UNEXPECTED(2007, "unexpected failure in {}"),
  /** An executor is not ejected because the maximum number of executors is ejected already. */
  EJECTION_CAPPED(
      2008, "executor {} keeps failing but is not ejected: too many executors are ejected");

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
