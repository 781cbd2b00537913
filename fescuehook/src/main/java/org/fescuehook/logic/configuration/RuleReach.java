package org.fescuehook.logic.configuration;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Rule;

/** Tells which rules no job can ever reach. */
public final class RuleReach {

  private static final int MINUTES_PER_DAY = 24 * 60;

  private final Declarations declarations;

  /** Creates it for the declarations that hold the rules. */
  public RuleReach(Declarations declarations) {
    this.declarations = declarations;
  }

  /** Returns why the rule can never match; empty if some job may reach it. */
  public Optional<String> whyNever(Rule rule) {
    for (Condition condition : rule.when()) {
      Optional<String> reason = whyNeverHolds(condition);
      if (reason.isPresent()) {
        return reason;
      }
    }
    return declarations.rules().stream()
        .filter(earlier -> earlier.number() < rule.number())
        .filter(earlier -> covers(earlier.when(), rule.when()))
        .findFirst()
        .map(earlier -> "rule " + earlier.number() + " matches all that it could match");
  }

  private Optional<String> whyNeverHolds(Condition condition) {
    int fleet =
        declarations.fleet().workers().stream()
            .map(Worker::capacity)
            .mapToInt(capacity -> capacity.accelerators())
            .sum();
    if (condition instanceof Condition.AcceleratorsBetween(int least, int _) && least > fleet) {
      return Optional.of(
          "it asks for at least %d accelerators, and the fleet has %d".formatted(least, fleet));
    }
    return Optional.empty();
  }

  /** Tells whether every job that matches {@code narrow} surely matches {@code wide}. */
  private static boolean covers(List<Condition> wide, List<Condition> narrow) {
    return wide.stream()
        .allMatch(condition -> alwaysHolds(condition) || implied(condition, narrow));
  }

  private static boolean implied(Condition wide, List<Condition> narrow) {
    return narrow.stream().anyMatch(condition -> includes(wide, condition));
  }

  private static boolean alwaysHolds(Condition condition) {
    return switch (condition) {
      case Condition.AcceleratorsBetween(int least, int most) ->
          least <= 0 && most == Integer.MAX_VALUE;
      case Condition.DeclaredSecondsBetween(long least, long most) ->
          least <= 0 && most == Long.MAX_VALUE;
      case Condition.LoadBetween(double least, double most) -> least <= 0 && most >= 1;
      case Condition.OfOrganisation _, Condition.Urgent _, Condition.MinuteOfDayBetween _ -> false;
    };
  }

  private static boolean includes(Condition wide, Condition narrow) {
    return switch (wide) {
      case Condition.OfOrganisation organisation -> organisation.equals(narrow);
      case Condition.Urgent urgent -> urgent.equals(narrow);
      case Condition.AcceleratorsBetween(int least, int most) ->
          narrow instanceof Condition.AcceleratorsBetween(int from, int to)
              && from >= least
              && to <= most;
      case Condition.DeclaredSecondsBetween(long least, long most) ->
          narrow instanceof Condition.DeclaredSecondsBetween(long from, long to)
              && from >= least
              && to <= most;
      case Condition.LoadBetween(double least, double most) ->
          narrow instanceof Condition.LoadBetween(double from, double to)
              && from >= least
              && to <= most;
      case Condition.MinuteOfDayBetween span ->
          narrow instanceof Condition.MinuteOfDayBetween other && includes(span, other);
    };
  }

  private static boolean includes(
      Condition.MinuteOfDayBetween wide, Condition.MinuteOfDayBetween narrow) {
    int length = Math.floorMod(wide.until() - wide.from(), MINUTES_PER_DAY);
    int start = Math.floorMod(narrow.from() - wide.from(), MINUTES_PER_DAY);
    int narrowLength = Math.floorMod(narrow.until() - narrow.from(), MINUTES_PER_DAY);
    return start + narrowLength <= length;
  }
}
