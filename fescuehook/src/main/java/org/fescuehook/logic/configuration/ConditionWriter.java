package org.fescuehook.logic.configuration;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.fescuehook.logic.ini.Durations;
import org.fescuehook.logic.ini.Values;
import org.fescuehook.model.rule.Condition;

/** Writes conditions in the syntax that {@link ConditionParser} reads. */
final class ConditionWriter {

  private ConditionWriter() {}

  static String write(List<Condition> conditions) {
    return conditions.stream().map(ConditionWriter::write).collect(Collectors.joining(", "));
  }

  private static String write(Condition condition) {
    return switch (condition) {
      case Condition.OfOrganisation(var organisation) -> "organisation=" + organisation;
      case Condition.AcceleratorsBetween(int least, int most) ->
          "accelerators=" + least + "-" + (most == Integer.MAX_VALUE ? "" : most);
      case Condition.DeclaredSecondsBetween(long least, long most) ->
          "declared=" + seconds(least) + "-" + (most == Long.MAX_VALUE ? "" : seconds(most));
      case Condition.Urgent(boolean urgent) -> "urgent=" + urgent;
      case Condition.MinuteOfDayBetween(int from, int until) ->
          "time=" + timeOfDay(from) + "-" + timeOfDay(until);
      case Condition.LoadBetween(double least, double most) ->
          "load=" + share(least) + "-" + share(most);
    };
  }

  private static String seconds(long seconds) {
    return seconds == 0 ? "0s" : Durations.format(Duration.ofSeconds(seconds));
  }

  private static String share(double share) {
    return Values.decimal(0, 1).writer().apply(share);
  }

  private static String timeOfDay(int minute) {
    return "%02d:%02d".formatted(minute / 60, minute % 60);
  }
}
