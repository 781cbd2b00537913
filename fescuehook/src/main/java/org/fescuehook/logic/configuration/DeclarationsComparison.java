package org.fescuehook.logic.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;

/** Compares two sets of declarations and describes the differences for operators. */
public final class DeclarationsComparison {

  private static final int MAX_NAMES_LISTED = 3;

  private final List<Difference> differences = new ArrayList<>();

  /**
   * Compares two sets of declarations.
   *
   * @param before the declarations in force; empty if there are none yet
   */
  public DeclarationsComparison(Optional<Declarations> before, Declarations after) {
    comparePolicy(before.map(Declarations::policy), after.policy());
    compare(before, after, "organisation", ItemDescriptions::organisations);
    compare(before, after, "guarantee", ItemDescriptions::guarantees);
    compare(before, after, "rule", ItemDescriptions::rules);
    compareMany(before, after, "worker", ItemDescriptions::workers);
    compareMany(before, after, "executor", ItemDescriptions::executors);
    compareAddresses(before, after, "worker", ItemDescriptions::workerAddresses);
    compareAddresses(before, after, "executor", ItemDescriptions::executorAddresses);
    compareTotals(before, after);
  }

  /** Returns the differences; empty if the declarations are equivalent. */
  public List<Difference> differences() {
    return List.copyOf(differences);
  }

  private void comparePolicy(Optional<PolicyPreferences> before, PolicyPreferences after) {
    Map<String, String> old = before.map(ItemDescriptions::policy).orElse(Map.of());
    ItemDescriptions.policy(after)
        .forEach((key, value) -> add("policy " + key, old.getOrDefault(key, ""), value));
  }

  private void compare(
      Optional<Declarations> before,
      Declarations after,
      String kind,
      Function<Declarations, Map<String, String>> items) {
    Map<String, String> old = before.map(items).orElse(Map.of());
    Map<String, String> current = items.apply(after);
    for (String name : union(old, current)) {
      add(kind + " " + name, old.getOrDefault(name, ""), current.getOrDefault(name, ""));
    }
  }

  /** Compares backend servers and combines those that differ in the same way into one line. */
  private void compareMany(
      Optional<Declarations> before,
      Declarations after,
      String kind,
      Function<Declarations, Map<String, String>> items) {
    Map<String, String> old = before.map(items).orElse(Map.of());
    Map<String, String> current = items.apply(after);
    Map<Difference, List<String>> namesByDifference = new LinkedHashMap<>();
    for (String name : union(old, current)) {
      Difference difference =
          new Difference("", old.getOrDefault(name, ""), current.getOrDefault(name, ""));
      if (!difference.before().equals(difference.after())) {
        namesByDifference.computeIfAbsent(difference, unused -> new ArrayList<>()).add(name);
      }
    }
    namesByDifference.forEach(
        (difference, names) -> add(subject(kind, names), difference.before(), difference.after()));
  }

  private void compareAddresses(
      Optional<Declarations> before,
      Declarations after,
      String kind,
      Function<Declarations, Map<String, String>> items) {
    Map<String, String> old = before.map(items).orElse(Map.of());
    items
        .apply(after)
        .forEach(
            (name, address) ->
                add("address of " + kind + " " + name, old.getOrDefault(name, address), address));
  }

  private void compareTotals(Optional<Declarations> before, Declarations after) {
    add(
        "fleet in sum",
        before.map(ItemDescriptions::fleet).orElse(""),
        ItemDescriptions.fleet(after));
    add(
        "guaranteed in sum",
        before.map(ItemDescriptions::guaranteed).orElse(""),
        ItemDescriptions.guaranteed(after));
  }

  private void add(String subject, String before, String after) {
    if (!before.equals(after)) {
      differences.add(new Difference(subject, before, after));
    }
  }

  private static List<String> union(Map<String, String> a, Map<String, String> b) {
    Map<String, String> all = new LinkedHashMap<>(a);
    all.putAll(b);
    return List.copyOf(all.keySet());
  }

  private static String subject(String kind, List<String> names) {
    if (names.size() == 1) {
      return kind + " " + names.getFirst();
    }
    if (names.size() <= MAX_NAMES_LISTED) {
      return names.size() + " " + kind + "s " + String.join(", ", names);
    }
    return "%d %ss %s, %s ... %s"
        .formatted(names.size(), kind, names.getFirst(), names.get(1), names.getLast());
  }
}
