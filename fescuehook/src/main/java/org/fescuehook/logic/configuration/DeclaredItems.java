package org.fescuehook.logic.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.IniDocument;
import org.fescuehook.logic.ini.IniSection;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Rule;

/** Collects the declared items with their sections, and the syntax faults, during parsing. */
final class DeclaredItems {

  private final IniDocument document;
  private final List<DeclaredItem<Organisation>> organisations = new ArrayList<>();
  private final List<DeclaredItem<GuaranteedShape>> guarantees = new ArrayList<>();
  private final List<DeclaredItem<Rule>> rules = new ArrayList<>();
  private final List<DeclaredItem<List<Condition>>> conditions = new ArrayList<>();
  private final List<DeclaredItem<Worker>> workers = new ArrayList<>();
  private final List<DeclaredItem<Executor>> executors = new ArrayList<>();
  private final List<Fault> faults;
  private PolicyPreferences policy = PolicyPreferences.DEFAULT;

  DeclaredItems(IniDocument document) {
    this.document = document;
    this.faults = new ArrayList<>(document.faults());
  }

  IniDocument document() {
    return document;
  }

  List<DeclaredItem<Organisation>> organisations() {
    return organisations;
  }

  List<DeclaredItem<GuaranteedShape>> guarantees() {
    return guarantees;
  }

  List<DeclaredItem<Rule>> rules() {
    return rules;
  }

  /** Returns the conditions of all rules, including rules whose verdict has a fault. */
  List<DeclaredItem<List<Condition>>> conditions() {
    return conditions;
  }

  List<DeclaredItem<Worker>> workers() {
    return workers;
  }

  List<DeclaredItem<Executor>> executors() {
    return executors;
  }

  /** Returns the modifiable list of syntax faults, to which parsers add. */
  List<Fault> faults() {
    return faults;
  }

  void declarePolicy(PolicyPreferences declared) {
    policy = declared;
  }

  /** Tells whether a section of one of these kinds has a fault. */
  boolean hasFault(List<String> kinds) {
    return document.sections().stream()
        .filter(section -> kinds.contains(section.kind()))
        .map(IniSection::name)
        .anyMatch(
            name -> faults.stream().anyMatch(fault -> fault.location().section().equals(name)));
  }

  /** Returns the items as declarations, each kind of item in its documented order. */
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

  private static <T> List<T> values(List<DeclaredItem<T>> items, Comparator<T> order) {
    return items.stream().map(DeclaredItem::value).sorted(order).toList();
  }
}
