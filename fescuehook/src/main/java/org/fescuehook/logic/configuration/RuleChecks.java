package org.fescuehook.logic.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.rule.UnreachableRuleFinder;
import org.fescuehook.logic.rule.UnreachableRuleFinder.Finding;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.rule.Rule;

/** Checks that each rule has a unique number and can match. */
final class RuleChecks {

  private final List<DeclaredItem<Rule>> rules;

  RuleChecks(List<DeclaredItem<Rule>> rules) {
    this.rules = rules;
  }

  /** Returns the faults. */
  List<Fault> faults() {
    List<Fault> faults = new ArrayList<>();
    Map<Integer, DeclaredItem<Rule>> seen = new HashMap<>();
    for (DeclaredItem<Rule> rule : rules) {
      DeclaredItem<Rule> first = seen.putIfAbsent(rule.value().number(), rule);
      if (first != null) {
        String problem = "two rules have this number; the first is at " + first.fileAndLine();
        faults.add(rule.fault(problem, "a number of its own for each rule"));
      }
    }
    return faults;
  }

  /** Returns a warning for each rule that can never match. */
  List<Fault> warnings(Declarations declarations) {
    List<Fault> warnings = new ArrayList<>();
    for (Finding finding : new UnreachableRuleFinder().find(declarations)) {
      for (DeclaredItem<Rule> rule : rules) {
        if (rule.value().number() == finding.rule()) {
          String problem = "can never match: " + finding.reason();
          warnings.add(rule.fault(problem, "a rule that some job can reach"));
        }
      }
    }
    return warnings;
  }
}
