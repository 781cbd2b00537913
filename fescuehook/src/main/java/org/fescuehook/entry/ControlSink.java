package org.fescuehook.entry;

import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.net.platform.LogTail;

/** Passes the control stream of the log on to the decision thread. */
record ControlSink(DecisionRing decisions, VmState state) implements LogTail.Sink {

  @Override
  public boolean record(LogRecord record) {
    return decisions.publish(new ControlEvent.RecordRead(record));
  }

  @Override
  public void caughtUp(long earliest, long next) {
    decisions.publish(new ControlEvent.CaughtUp(earliest, next));
  }

  @Override
  public void reachable(boolean reachable) {
    state.recordLogRead(reachable);
    if (!reachable) {
      decisions.publish(new ControlEvent.LogUnreachable());
    }
  }
}
