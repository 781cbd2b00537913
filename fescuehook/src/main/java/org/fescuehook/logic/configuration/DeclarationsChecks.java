package org.fescuehook.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.IniSection;
import org.fescuehook.model.rule.Condition;

/** Checks that the declared items are consistent with each other. */
final class DeclarationsChecks {

  private static final List<String> FLEET_KINDS =
      List.of(
          DeclarationKeys.WORKER,
          DeclarationKeys.WORKERS,
          DeclarationKeys.EXECUTOR,
          DeclarationKeys.EXECUTORS);

  private final DeclaredItems items;

  DeclarationsChecks(DeclaredItems items) {
    this.items = items;
  }

  /** Returns the faults that prevent the declarations from being published. */
  List<Fault> faults() {
    List<Fault> faults = new ArrayList<>(new FleetChecks(items).faults());
    faults.addAll(new RuleChecks(items.rules()).faults());
    if (!items.document().complete()) {
      return faults;
    }
    faults.addAll(unknownOrganisations());
    if (!items.hasFault(FLEET_KINDS)) {
      faults.addAll(new GuaranteeChecks(items).faults());
    }
    return faults;
  }

  /** Returns likely mistakes that do not prevent publication. */
  List<Fault> warnings() {
    return new RuleChecks(items.rules()).warnings(items.toDeclarations());
  }

  private List<Fault> unknownOrganisations() {
    Set<String> known = organisationNames();
    List<Fault> faults = new ArrayList<>(unknownHolders(known));
    for (DeclaredItem<List<Condition>> conditions : items.conditions()) {
      for (Condition condition : conditions.value()) {
        if (condition instanceof Condition.OfOrganisation(var organisation)
            && !known.contains(organisation.value())) {
          String problem = "unknown organisation \"" + organisation + "\"";
          faults.add(conditions.fault(DeclarationKeys.WHEN, problem, oneOf(known)));
        }
      }
    }
    return faults;
  }

  private List<Fault> unknownHolders(Set<String> known) {
    return items.guarantees().stream()
        .filter(guarantee -> !known.contains(guarantee.value().organisation().value()))
        .map(
            guarantee ->
                guarantee.fault(DeclarationKeys.HOLDER, "unknown organisation", oneOf(known)))
        .toList();
  }

  /** Returns the names of all organisation sections, including those that have a fault. */
  private Set<String> organisationNames() {
    return items.document().sections().stream()
        .filter(section -> section.kind().equals(DeclarationKeys.ORGANISATION))
        .map(IniSection::title)
        .filter(title -> !title.isBlank())
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static String oneOf(Set<String> names) {
    return names.isEmpty()
        ? "an [organisation NAME] section"
        : "one of " + String.join(", ", names);
  }
}
