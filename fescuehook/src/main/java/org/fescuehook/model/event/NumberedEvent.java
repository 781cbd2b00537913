package org.fescuehook.model.event;

/**
 * A kind of log line. Each package that logs has an enum of its own; numbers are unique over all of
 * them and stand in docs/EVENTS.md.
 */
public interface NumberedEvent {

  /** Returns the number, never used again for another kind. */
  int number();

  /** Returns the SLF4J message format. */
  String format();
}
