package org.fescuehook.logic.rule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Rule;
import org.fescuehook.model.rule.Verdict;
import org.junit.jupiter.api.Test;

class UnreachableRuleFinderTest {

  private static final Verdict ADMIT = new Verdict.Admit(0, true);
  private static final OrganisationId BIO = new OrganisationId("bio");

  @Test
  void aRuleCoveredByAnEarlierRuleIsUnreachable() {
    assertEquals(
        List.of(2),
        unreachable(
            new Rule(1, List.of(new Condition.DeclaredSecondsBetween(0, 3600)), ADMIT),
            new Rule(
                2,
                List.of(
                    new Condition.OfOrganisation(BIO),
                    new Condition.DeclaredSecondsBetween(60, 600)),
                ADMIT)));
  }

  @Test
  void aRuleThatMatchesMoreThanAnEarlierRuleIsReachable() {
    assertEquals(
        List.of(),
        unreachable(
            new Rule(1, List.of(new Condition.DeclaredSecondsBetween(0, 3600)), ADMIT),
            new Rule(2, List.of(new Condition.DeclaredSecondsBetween(60, 3601)), ADMIT)));
  }

  @Test
  void aRuleWithContradictoryConditionsIsUnreachable() {
    assertEquals(
        List.of(1, 2),
        unreachable(
            new Rule(1, List.of(new Condition.Urgent(true), new Condition.Urgent(false)), ADMIT),
            new Rule(
                2,
                List.of(
                    new Condition.MinuteOfDayBetween(1380, 60),
                    new Condition.MinuteOfDayBetween(600, 700)),
                ADMIT)));
  }

  @Test
  void aRuleForAnUndeclaredOrganisationIsUnreachable() {
    Condition other = new Condition.OfOrganisation(new OrganisationId("nobody"));

    assertEquals(List.of(1), unreachable(new Rule(1, List.of(other), ADMIT)));
  }

  private static List<Integer> unreachable(Rule... rules) {
    Declarations declarations =
        new Declarations(
            List.of(new Organisation(BIO, 1, 8, 1)),
            List.of(),
            List.of(rules),
            new Fleet(List.of(), List.of()),
            PolicyPreferences.DEFAULT);
    return new UnreachableRuleFinder()
        .find(declarations).stream().map(UnreachableRuleFinder.Finding::rule).toList();
  }
}
