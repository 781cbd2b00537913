package org.fescuehook.logic.trace;

import java.util.List;
import org.fescuehook.model.configuration.Declarations;

/**
 * Declarations and the events of a fleet under them, either recorded or written by hand.
 *
 * @param declarations declarations that were in force
 * @param timing delays of the workers
 * @param events events in the order of their times
 */
public record Trace(Declarations declarations, WorkerTiming timing, List<TraceEvent> events) {

  /** Copies the events. */
  public Trace {
    events = List.copyOf(events);
  }
}
