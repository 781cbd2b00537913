package org.fescuehook.logic.rule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Rule;

/**
 * Finds rules that can never match: their conditions contradict each other or the declarations, or
 * a single earlier rule matches everything that they match. Rules that are covered only by several
 * earlier rules together are not found.
 */
public final class UnreachableRuleFinder {

  /**
   * A rule that can never match.
   *
   * @param rule its number
   * @param reason why it can never match, as text for operators
   */
  public record Finding(int rule, String reason) {}

  /** Returns the rules that can never match, in the order of their numbers. */
  public List<Finding> find(Declarations declarations) {
    List<Finding> findings = new ArrayList<>();
    List<Rule> reachable = new ArrayList<>();
    for (Rule rule : declarations.rules()) {
      Optional<String> reason = reason(rule, reachable, declarations);
      if (reason.isPresent()) {
        findings.add(new Finding(rule.number(), reason.get()));
      } else {
        reachable.add(rule);
      }
    }
    return findings;
  }

  private static Optional<String> reason(Rule rule, List<Rule> earlier, Declarations declarations) {
    Optional<String> contradiction = contradiction(RuleCoverage.of(rule), declarations);
    if (contradiction.isPresent()) {
      return contradiction;
    }
    for (Rule e : earlier) {
      if (RuleCoverage.of(e).contains(RuleCoverage.of(rule))) {
        return Optional.of("rule " + e.number() + " matches all that it matches");
      }
    }
    return Optional.empty();
  }

  private static Optional<String> contradiction(RuleCoverage coverage, Declarations declarations) {
    if (coverage.isEmpty()) {
      return Optional.of("its conditions contradict each other");
    }
    List<OrganisationId> declared =
        declarations.organisations().stream().map(Organisation::id).toList();
    if (coverage.organisation().isPresent() && !declared.contains(coverage.organisation().get())) {
      return Optional.of("organisation " + coverage.organisation().get() + " is not declared");
    }
    long accelerators =
        declarations.fleet().workers().stream().mapToLong(w -> w.capacity().accelerators()).sum();
    if (coverage.accelerators().least() > accelerators) {
      return Optional.of("the declared fleet has " + accelerators + " accelerators");
    }
    return Optional.empty();
  }
}
