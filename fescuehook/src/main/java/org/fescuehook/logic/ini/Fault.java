package org.fescuehook.logic.ini;

import java.util.Comparator;

/**
 * Something wrong in an INI file, with its place and what would be accepted.
 *
 * @param place where it is
 * @param value text that stands there; empty if nothing does
 * @param problem what is wrong with it
 * @param accepted what would be accepted
 */
public record Fault(SourceLocation place, String value, String problem, String accepted) {

  /** Order of files, then lines, then text. */
  public static final Comparator<Fault> BY_PLACE =
      Comparator.comparing((Fault fault) -> fault.place().file())
          .thenComparing(fault -> fault.place().line())
          .thenComparing(Fault::message);

  /** Returns the fault as one line. */
  public String message() {
    String shown = value.isEmpty() ? "" : " = " + value;
    return place + shown + ": " + problem + "; accepted: " + accepted;
  }

  @Override
  public String toString() {
    return message();
  }
}
