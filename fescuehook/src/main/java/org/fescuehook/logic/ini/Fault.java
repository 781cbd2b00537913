package org.fescuehook.logic.ini;

import java.util.Comparator;

/**
 * An error in an INI file, with its location and a description of the accepted input.
 *
 * @param location location of the error
 * @param value text found there; empty if there is none
 * @param problem what is wrong
 * @param accepted what would be accepted
 */
public record Fault(SourceLocation location, String value, String problem, String accepted) {

  /** Orders faults by file, then line, then message. */
  public static final Comparator<Fault> BY_PLACE =
      Comparator.comparing((Fault fault) -> fault.location().file())
          .thenComparing(fault -> fault.location().line())
          .thenComparing(Fault::message);

  /** Returns the fault as a message of one line. */
  public String message() {
    String shown = value.isEmpty() ? "" : " = " + value;
    return location + shown + ": " + problem + "; accepted: " + accepted;
  }

  @Override
  public String toString() {
    return message();
  }
}
