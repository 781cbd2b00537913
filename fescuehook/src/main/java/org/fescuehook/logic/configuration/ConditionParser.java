package org.fescuehook.logic.configuration;

import java.time.Duration;
import java.time.LocalTime;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.ini.Durations;
import org.fescuehook.logic.ini.MalformedValueException;
import org.fescuehook.logic.ini.ValueType;
import org.fescuehook.logic.ini.Values;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Condition;

/** Parses the conditions of a rule, separated by commas. */
final class ConditionParser {

  private static final String ACCEPTED =
      "conditions as organisation=NAME, accelerators=1-8, declared=1h-4h, urgent=true,"
          + " time=22:00-06:00, load=0.8-1; a range may be open above, as accelerators=8-";

  static final ValueType<List<Condition>> TYPE =
      new ValueType<>(ACCEPTED, ConditionParser::parse, ConditionWriter::write);

  private static final ValueType<OrganisationId> ORGANISATION = Values.name(OrganisationId::new);
  private static final ValueType<Integer> COUNT = Values.count(0, 1_000_000);
  private static final ValueType<Double> SHARE = Values.decimal(0, 1);
  private static final ValueType<Duration> DURATION = Durations.from(Duration.ZERO);
  private static final int MINUTES_PER_HOUR = 60;

  private ConditionParser() {}

  private static List<Condition> parse(String text) throws MalformedValueException {
    List<Condition> conditions = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    if (text.isBlank()) {
      return conditions;
    }
    for (String part : text.split(",", -1)) {
      int separator = part.indexOf('=');
      if (separator < 0) {
        throw new MalformedValueException("\"" + part.strip() + "\" is no condition");
      }
      String name = part.substring(0, separator).strip();
      if (!seen.add(name)) {
        throw new MalformedValueException("condition \"" + name + "\" is given twice");
      }
      conditions.add(condition(name, part.substring(separator + 1).strip()));
    }
    return conditions;
  }

  private static Condition condition(String name, String value) throws MalformedValueException {
    try {
      return switch (name) {
        case "organisation" -> new Condition.OfOrganisation(ORGANISATION.reader().read(value));
        case "accelerators" -> accelerators(value);
        case "declared" -> declared(value);
        case "urgent" -> new Condition.Urgent(parseBoolean(value));
        case "time" -> time(value);
        case "load" -> load(value);
        default -> throw new MalformedValueException("is no known condition");
      };
    } catch (MalformedValueException e) {
      throw new MalformedValueException(name + "=" + value + ": " + e.getMessage());
    }
  }

  private static Condition accelerators(String value) throws MalformedValueException {
    Range range = Range.of(value);
    int least = COUNT.reader().read(range.least());
    int most = range.hasNoUpperEnd() ? Integer.MAX_VALUE : COUNT.reader().read(range.most());
    requireOrder(least <= most);
    return new Condition.AcceleratorsBetween(least, most);
  }

  private static Condition declared(String value) throws MalformedValueException {
    Range range = Range.of(value);
    long least = DURATION.reader().read(range.least()).toSeconds();
    long most =
        range.hasNoUpperEnd() ? Long.MAX_VALUE : DURATION.reader().read(range.most()).toSeconds();
    requireOrder(least <= most);
    return new Condition.DeclaredSecondsBetween(least, most);
  }

  private static Condition load(String value) throws MalformedValueException {
    Range range = Range.of(value);
    double least = SHARE.reader().read(range.least());
    double most = range.hasNoUpperEnd() ? 1 : SHARE.reader().read(range.most());
    requireOrder(least <= most);
    return new Condition.LoadBetween(least, most);
  }

  private static Condition time(String value) throws MalformedValueException {
    Range range = Range.of(value);
    int from = minuteOfDay(range.least());
    int until = minuteOfDay(range.most());
    if (from == until) {
      throw new MalformedValueException("is an empty span of the day");
    }
    return new Condition.MinuteOfDayBetween(from, until);
  }

  private static int minuteOfDay(String text) throws MalformedValueException {
    try {
      LocalTime time = LocalTime.parse(text);
      if (time.getSecond() == 0 && time.getNano() == 0) {
        return time.getHour() * MINUTES_PER_HOUR + time.getMinute();
      }
    } catch (DateTimeParseException e) {
      // reported below with the other malformed times
    }
    throw new MalformedValueException("\"" + text + "\" is no time of day as 22:00");
  }

  private static boolean parseBoolean(String value) throws MalformedValueException {
    return switch (value) {
      case "true", "yes" -> true;
      case "false", "no" -> false;
      default -> throw new MalformedValueException("is neither true nor false");
    };
  }

  private static void requireOrder(boolean ordered) throws MalformedValueException {
    if (!ordered) {
      throw new MalformedValueException("the range ends below its start");
    }
  }

  /** The lower and upper end of a range as text; a single value is taken for both. */
  private record Range(String least, String most) {

    static Range of(String value) {
      int separator = value.indexOf('-');
      if (separator < 0) {
        return new Range(value, value);
      }
      return new Range(
          value.substring(0, separator).strip(), value.substring(separator + 1).strip());
    }

    boolean hasNoUpperEnd() {
      return most.isEmpty();
    }
  }
}
