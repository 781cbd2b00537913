package org.fescuehook.logic.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.rule.Rule;

/** Items of the declarations as they are read, with their places, and the faults met. */
final class DeclaredItems {

  final List<Placed<Organisation>> organisations = new ArrayList<>();
  final List<Placed<GuaranteedShape>> guarantees = new ArrayList<>();
  final List<Placed<Rule>> rules = new ArrayList<>();
  final List<Placed<Worker>> workers = new ArrayList<>();
  final List<Placed<Executor>> executors = new ArrayList<>();
  final List<Fault> faults = new ArrayList<>();
  final List<Fault> warnings = new ArrayList<>();
  PolicyPreferences policy = PolicyPreferences.DEFAULT;

  /** Returns the items in their documented order. */
  Declarations toDeclarations() {
    return new Declarations(
        values(organisations, Comparator.comparing(Organisation::id)),
        values(guarantees, Comparator.comparing(GuaranteedShape::name)),
        values(rules, Comparator.comparing(Rule::number)),
        new Fleet(
            values(workers, Comparator.comparing(Worker::id)),
            values(executors, Comparator.comparing(Executor::id))),
        policy);
  }

  private static <T> List<T> values(List<Placed<T>> items, Comparator<T> order) {
    return items.stream().map(Placed::value).sorted(order).toList();
  }
}
