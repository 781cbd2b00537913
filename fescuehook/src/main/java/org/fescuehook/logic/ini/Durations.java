package org.fescuehook.logic.ini;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Value types for durations with a unit: ms, s, m or h. */
public final class Durations {

  private static final Pattern FORM = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,3})?)\\s*([A-Za-z]*)");
  private static final Map<String, Long> MILLIS_BY_UNIT =
      Map.of("ms", 1L, "s", 1000L, "m", 60_000L, "h", 3_600_000L);
  private static final Duration MAX_DURATION = Duration.ofDays(366);

  private Durations() {}

  /** Returns the type of durations from {@code least} to a year. */
  public static ValueType<Duration> from(Duration least) {
    String accepted = "a duration of at least " + format(least) + " in ms, s, m or h, as 500ms";
    return new ValueType<>(accepted, text -> parse(text, least), Durations::format);
  }

  /** Returns the duration in the largest unit that gives a whole number. */
  public static String format(Duration duration) {
    long millis = duration.toMillis();
    for (String unit : new String[] {"h", "m", "s"}) {
      if (millis != 0 && millis % MILLIS_BY_UNIT.get(unit) == 0) {
        return millis / MILLIS_BY_UNIT.get(unit) + unit;
      }
    }
    return millis + "ms";
  }

  private static Duration parse(String text, Duration least) throws MalformedValueException {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      throw new MalformedValueException("is not a duration");
    }
    String unit = matcher.group(2);
    if (unit.isEmpty()) {
      throw new MalformedValueException("has no unit");
    }
    Long millis = MILLIS_BY_UNIT.get(unit);
    if (millis == null) {
      throw new MalformedValueException("has the unknown unit \"" + unit + "\"");
    }
    Duration duration =
        Duration.ofMillis(Math.round(Double.parseDouble(matcher.group(1)) * millis));
    if (duration.compareTo(least) < 0) {
      throw new MalformedValueException("is below " + format(least));
    }
    if (duration.compareTo(MAX_DURATION) > 0) {
      throw new MalformedValueException("is above a year");
    }
    return duration;
  }
}
