package org.fescuehook.logic.rule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Rule;
import org.fescuehook.model.rule.Verdict;
import org.junit.jupiter.api.Test;

class RuleMatcherTest {

  private static final long MINUTE_MILLIS = 60_000;
  private static final Verdict.Admit LOW = new Verdict.Admit(1, true);
  private static final Verdict.Admit HIGH = new Verdict.Admit(9, false);

  private final RuleMatcher matcher = new RuleMatcher();

  @Test
  void theFirstMatchingRuleIsApplied() {
    List<Rule> rules =
        List.of(
            new Rule(3, List.of(new Condition.Urgent(true)), LOW),
            new Rule(5, List.of(new Condition.AcceleratorsBetween(8, 8)), HIGH),
            new Rule(7, List.of(), LOW));

    assertEquals(new RuleMatcher.Match(5, HIGH), matcher.match(rules, job(), 0, 0));
  }

  @Test
  void withoutAMatchTheJobIsAdmittedWithRuleNumberZero() {
    List<Rule> rules = List.of(new Rule(1, List.of(new Condition.Urgent(true)), LOW));

    assertEquals(RuleMatcher.NO_RULE, matcher.match(rules, job(), 0, 0));
  }

  @Test
  void aRangeOfTheDayMayCrossMidnight() {
    List<Rule> night =
        List.of(new Rule(1, List.of(new Condition.MinuteOfDayBetween(22 * 60, 6 * 60)), LOW));

    assertEquals(1, matcher.match(night, job(), 23 * 60 * MINUTE_MILLIS, 0).rule());
    assertEquals(1, matcher.match(night, job(), 6 * 60 * MINUTE_MILLIS, 0).rule());
    assertEquals(0, matcher.match(night, job(), 6 * 61 * MINUTE_MILLIS, 0).rule());
  }

  @Test
  void bothEndsOfALoadRangeAreIncluded() {
    List<Rule> busy = List.of(new Rule(1, List.of(new Condition.LoadBetween(0.8, 1)), LOW));

    assertEquals(1, matcher.match(busy, job(), 0, 0.8).rule());
    assertEquals(0, matcher.match(busy, job(), 0, 0.79).rule());
  }

  private static Job job() {
    return new Job(
        new JobId("j"),
        new OrganisationId("bio"),
        Optional.empty(),
        new Shape(4, new Capacity(2, 4, 10), 0),
        false,
        false,
        60,
        0,
        "run");
  }
}
