package org.fescuehook.entry;

import org.fescuehook.model.log.LogRecord;
import org.fescuehook.net.caller.RequestPath;
import org.fescuehook.net.platform.LogTail;

/** Passes the request stream of the log on to the request path. */
record RequestSink(RequestPath requests) implements LogTail.Sink {

  @Override
  public boolean record(LogRecord record) {
    requests.onRequestRecord(record);
    return true;
  }

  @Override
  public void caughtUp(long earliest, long next) {
    requests.onRequestsCaughtUp(earliest, next);
  }

  @Override
  public void reachable(boolean reachable) {
    requests.logReachable(reachable);
  }
}
