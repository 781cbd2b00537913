package org.fescuehook.logic.trace;

import java.util.List;
import org.fescuehook.model.configuration.Declarations;

/**
 * A recorded or written trace.
 *
 * @param declarations what was declared
 * @param timing how quickly workers act
 * @param events what happened, in the order of time
 */
public record Trace(Declarations declarations, WorkerTiming timing, List<TraceEvent> events) {

  /** Copies the events. */
  public Trace {
    events = List.copyOf(events);
  }
}
