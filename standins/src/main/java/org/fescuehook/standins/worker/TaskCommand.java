package org.fescuehook.standins.worker;

/** What a task does. */
sealed interface TaskCommand {

  /** Ends by itself after a time, in milliseconds, with an exit code. */
  record Run(long millis, int exitCode) implements TaskCommand {}

  /** Never ends by itself. */
  record Forever() implements TaskCommand {}

  /** Reads {@code run:<millis>}, {@code run:<millis>:exit=<code>} or {@code forever}. */
  static TaskCommand parse(String text) {
    if (text.equals("forever")) {
      return new Forever();
    }
    String[] parts = text.split(":");
    if (!parts[0].equals("run") || parts.length < 2 || parts.length > 3) {
      throw new IllegalArgumentException("unknown command " + text);
    }
    int exitCode = parts.length == 2 ? 0 : Integer.parseInt(parts[2].replaceFirst("^exit=", ""));
    return new Run(Long.parseLong(parts[1]), exitCode);
  }
}
