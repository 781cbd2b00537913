package org.fescuehook.logic.rule;

import java.util.List;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Rule;
import org.fescuehook.model.rule.Verdict;

/** Finds the first rule that matches a job. */
public final class RuleMatcher {

  /**
   * Result if no rule matches: rule number 0, and the job is admitted with priority 0 and may
   * borrow.
   */
  public static final Match NO_RULE = new Match(0, new Verdict.Admit(0, true));

  private static final long MINUTE_MILLIS = 60_000;
  private static final int MINUTES_PER_DAY = 24 * 60;

  /**
   * The rule that applies to a job.
   *
   * @param rule its number; 0 if no rule matched
   * @param verdict its decision
   */
  public record Match(int rule, Verdict verdict) {}

  /**
   * Returns the first rule that matches.
   *
   * @param rules rules in the order of their numbers
   * @param nowMillis time of the decision, milliseconds since 1970
   * @param load share of the fleet's accelerators in use, 0 to 1
   */
  public Match match(List<Rule> rules, Job job, long nowMillis, double load) {
    int minute = (int) Math.floorMod(nowMillis / MINUTE_MILLIS, (long) MINUTES_PER_DAY);
    for (Rule rule : rules) {
      if (matches(rule, job, minute, load)) {
        return new Match(rule.number(), rule.then());
      }
    }
    return NO_RULE;
  }

  private static boolean matches(Rule rule, Job job, int minute, double load) {
    for (Condition condition : rule.when()) {
      if (!holds(condition, job, minute, load)) {
        return false;
      }
    }
    return true;
  }

  private static boolean holds(Condition condition, Job job, int minute, double load) {
    return switch (condition) {
      case Condition.OfOrganisation(var organisation) -> organisation.equals(job.organisation());
      case Condition.AcceleratorsBetween(int least, int most) ->
          isBetween(job.shape().accelerators(), least, most);
      case Condition.DeclaredSecondsBetween(long least, long most) ->
          isBetween(job.declaredSeconds(), least, most);
      case Condition.Urgent(boolean urgent) -> urgent == job.urgent();
      case Condition.MinuteOfDayBetween(int from, int until) ->
          isInMinuteRange(minute, from, until);
      case Condition.LoadBetween(double least, double most) -> load >= least && load <= most;
    };
  }

  private static boolean isBetween(long value, long least, long most) {
    return value >= least && value <= most;
  }

  private static boolean isInMinuteRange(int minute, int from, int until) {
    if (from <= until) {
      return minute >= from && minute <= until;
    }
    return minute >= from || minute <= until;
  }
}
