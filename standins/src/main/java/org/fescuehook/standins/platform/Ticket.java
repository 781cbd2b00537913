package org.fescuehook.standins.platform;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A ticket of the advice service, with which one incarnation of an executor starts tasks of a step.
 *
 * @param step name of the step
 * @param executor id of the executor
 * @param bornMillis start time of the executor's incarnation, in milliseconds since 1970
 * @param untilMillis monotonic time from which on it is not valid
 */
record Ticket(String step, String executor, long bornMillis, long untilMillis) {

  private static final Pattern TEXT = Pattern.compile("([^/]*)/([^/]*)/(\\d+)/(\\d+)");

  /** Reads a ticket; empty if the text is none. */
  static Optional<Ticket> parse(String text) {
    Matcher matcher = TEXT.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new Ticket(
            matcher.group(1),
            matcher.group(2),
            Long.parseLong(matcher.group(3)),
            Long.parseLong(matcher.group(4))));
  }

  /** Returns the text that starts carry. */
  String text() {
    return step + "/" + executor + "/" + bornMillis + "/" + untilMillis;
  }

  /** Tells whether an incarnation of an executor accepts it for a task. */
  boolean permits(String task, String id, long born, long now) {
    return task.startsWith(step + ".")
        && executor.equals(id)
        && bornMillis == born
        && now < untilMillis;
  }
}
