package org.fescuehook.model.event;

/**
 * A kind of log event with a fixed number. Each package that logs declares its events in an enum of
 * its own. Numbers are unique across all of these enums and are listed in docs/EVENTS.md.
 */
public interface NumberedEvent {

  /** Returns the number, which is never reused for another kind of event. */
  int number();

  /** Returns the SLF4J message format. */
  String format();
}
