package org.fescuehook.logic.control.trace;

import java.time.Duration;
import java.util.Optional;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;

/** Parses the lines of a trace, one after the other. */
public final class ControlTraceParser {

  /** The content of a line. */
  public sealed interface Line {

    /** The format line, with a supported version. */
    record Format() implements Line {}

    /** The identity and the preferences of the core. */
    record Core(IdentityPreferences identity, String incarnation, ControlPreferences preferences)
        implements Line {}

    /** An event that the core applied, with its time. */
    record Event(long nowNanos, long wallMillis, ControlEvent event) implements Line {}

    /** A command of the core, as text. */
    record Command(String text) implements Line {}
  }

  private long lines;

  /** Returns the number of lines parsed so far. */
  public long lines() {
    return lines;
  }

  /**
   * Parses the next line; returns empty for a blank line and for a comment, which begins with
   * {@code #}.
   */
  public Optional<Line> parse(String text) throws InvalidTraceException {
    lines++;
    if (lines == 1) {
      return Optional.of(format(text));
    }
    if (text.isBlank() || text.startsWith("#")) {
      return Optional.empty();
    }
    if (text.startsWith(ControlTraceWriter.COMMAND)) {
      return Optional.of(new Line.Command(text));
    }
    TraceFields fields = new TraceFields(lines, text);
    return Optional.of(text.startsWith("core ") ? core(fields) : event(fields));
  }

  private Line format(String text) throws InvalidTraceException {
    if (!text.equals(ControlTraceWriter.FORMAT)) {
      String fault = "expected \"" + ControlTraceWriter.FORMAT + "\"";
      throw new InvalidTraceException(lines, "format", fault);
    }
    return new Line.Format();
  }

  private static Line event(TraceFields fields) throws InvalidTraceException {
    long now = fields.number("monotonic time");
    long wall = fields.number("time of day");
    return new Line.Event(now, wall, EventParser.parse(fields));
  }

  private static Line core(TraceFields fields) throws InvalidTraceException {
    fields.word("core");
    IdentityPreferences identity =
        new IdentityPreferences(
            new VmId(fields.text("VM")), new FailureDomain(fields.text("failure domain")));
    String incarnation = fields.text("incarnation");
    ControlPreferences preferences =
        new ControlPreferences(
            duration(fields, "owner heartbeat"),
            duration(fields, "owner timeout"),
            duration(fields, "claim stagger"),
            duration(fields, "lease ttl"),
            duration(fields, "renew interval"),
            duration(fields, "grant timeout"),
            duration(fields, "snapshot interval"),
            duration(fields, "tick"));
    fields.end();
    return new Line.Core(identity, incarnation, preferences);
  }

  private static Duration duration(TraceFields fields, String name) throws InvalidTraceException {
    return Duration.ofNanos(fields.number(name));
  }
}
