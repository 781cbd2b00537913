package org.fescuehook.logic.configuration;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.Key;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.rule.Rule;

/**
 * Maps the name of each declared item to its description, so that two sets of declarations can be
 * compared.
 */
final class ItemDescriptions {

  private ItemDescriptions() {}

  static Map<String, String> policy(PolicyPreferences policy) {
    Map<String, String> values = new LinkedHashMap<>();
    put(values, DeclarationKeys.FRAGMENTATION_WEIGHT, policy.fragmentationWeight());
    put(values, DeclarationKeys.RECLAIM_BOUND, policy.reclaimBound());
    put(values, DeclarationKeys.CHECKPOINT_NOTICE, policy.checkpointNotice());
    put(values, DeclarationKeys.URGENT_START_BOUND, policy.urgentStartBound());
    put(values, DeclarationKeys.MAX_WAIT, policy.maxWait());
    put(values, DeclarationKeys.MAX_ATTEMPTS, policy.maxAttempts());
    return values;
  }

  private static <T> void put(Map<String, String> values, Key<T> key, T value) {
    values.put(key.name(), key.type().writer().apply(value));
  }

  static Map<String, String> organisations(Declarations declarations) {
    Map<String, String> items = new TreeMap<>();
    for (Organisation organisation : declarations.organisations()) {
      items.put(
          organisation.id().value(),
          "weight %s, at most %d accelerators, at most %d requests in flight"
              .formatted(
                  DeclarationKeys.WEIGHT.type().writer().apply(organisation.weight()),
                  organisation.quotaAccelerators(),
                  organisation.requestShare()));
    }
    return items;
  }

  static Map<String, String> guarantees(Declarations declarations) {
    Map<String, String> items = new TreeMap<>();
    declarations
        .guarantees()
        .forEach(guarantee -> items.put(guarantee.name(), Descriptions.guarantee(guarantee)));
    return items;
  }

  static Map<String, String> rules(Declarations declarations) {
    Map<String, String> items = new LinkedHashMap<>();
    for (Rule rule : declarations.rules()) {
      String when = ConditionWriter.write(rule.when());
      String then = DeclarationKeys.THEN.type().writer().apply(rule.then());
      items.put(
          String.valueOf(rule.number()),
          when.isEmpty() ? "always " + then : "when " + when + " then " + then);
    }
    return items;
  }

  static Map<String, String> workers(Declarations declarations) {
    Map<String, String> items = new TreeMap<>();
    for (Worker worker : declarations.fleet().workers()) {
      items.put(
          worker.id().value(),
          "%s in rack %s of failure domain %s"
              .formatted(Descriptions.capacity(worker.capacity()), worker.rack(), worker.domain()));
    }
    return items;
  }

  static Map<String, String> executors(Declarations declarations) {
    Map<String, String> items = new TreeMap<>();
    for (Executor executor : declarations.fleet().executors()) {
      items.put(
          executor.id().value(),
          "%s and %s in failure domain %s"
              .formatted(
                  Descriptions.plural(executor.slots(), "slot"),
                  Descriptions.plural(executor.connections(), "connection"),
                  executor.domain()));
    }
    return items;
  }

  static String fleet(Declarations declarations) {
    return Total.ofWorkers(declarations.fleet().workers()).describe();
  }

  static String guaranteed(Declarations declarations) {
    return Total.ofGuarantees(declarations.guarantees()).describe();
  }

  static Map<String, String> workerAddresses(Declarations declarations) {
    Map<String, String> items = new TreeMap<>();
    for (Worker worker : declarations.fleet().workers()) {
      items.put(worker.id().value(), Addresses.format(worker.address()));
    }
    return items;
  }

  static Map<String, String> executorAddresses(Declarations declarations) {
    Map<String, String> items = new TreeMap<>();
    for (Executor executor : declarations.fleet().executors()) {
      items.put(executor.id().value(), Addresses.format(executor.address()));
    }
    return items;
  }
}
