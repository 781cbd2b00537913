package org.fescuehook.standins.worker;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How long a task runs and how it ends.
 *
 * @param millis milliseconds after which the task ends by itself
 * @param exitCode exit code with which it ends
 */
record TaskCommand(long millis, int exitCode) {
  private static final Pattern RUN = Pattern.compile("run:(\\d{1,15})(?::exit=(\\d{1,3}))?");
  private static final long NEVER = Long.MAX_VALUE / 2;

  /** Parses {@code run:<millis>}, {@code run:<millis>:exit=<code>} or {@code forever}. */
  static TaskCommand parse(String text) {
    if (text.equals("forever")) {
      return new TaskCommand(NEVER, 0);
    }
    Matcher run = RUN.matcher(text);
    if (!run.matches()) {
      throw new IllegalArgumentException("unknown command " + text);
    }
    int exitCode = run.group(2) == null ? 0 : Integer.parseInt(run.group(2));
    return new TaskCommand(Long.parseLong(run.group(1)), exitCode);
  }
}
