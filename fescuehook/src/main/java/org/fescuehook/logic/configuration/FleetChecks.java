package org.fescuehook.logic.configuration;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.IniSection;
import org.fescuehook.logic.ini.Key;
import org.fescuehook.logic.ini.SourceLocation;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;

/**
 * Checks that the fleet is not empty, that names and addresses are unique, and that each rack is in
 * one failure domain.
 */
final class FleetChecks {

  private final DeclaredItems items;
  private final List<Fault> faults = new ArrayList<>();
  private final Set<IniSection> reportedSections = new HashSet<>();

  FleetChecks(DeclaredItems items) {
    this.items = items;
  }

  /** Returns the faults. A section that declares a range of items gets only its first fault. */
  List<Fault> faults() {
    checkNotEmpty();
    checkNamesUnique();
    checkAddressesUnique();
    checkRacks();
    return faults;
  }

  private void checkNotEmpty() {
    boolean fleetDeclared =
        items.document().sections().stream()
            .map(IniSection::kind)
            .anyMatch(kind -> kind.startsWith("worker") || kind.startsWith("executor"));
    if (!fleetDeclared && items.document().complete()) {
      faults.add(
          new Fault(
              SourceLocation.ofFile(String.join(", ", items.document().files())),
              "",
              "the fleet is empty",
              "at least one [worker NAME], [workers NAME-{1..9}], [executor NAME] or"
                  + " [executors NAME-{1..9}]"));
    }
  }

  private void checkNamesUnique() {
    Map<String, DeclaredItem<?>> seen = new HashMap<>();
    for (DeclaredItem<Worker> worker : items.workers()) {
      checkNameUnique(seen, "worker " + worker.value().id(), worker);
    }
    for (DeclaredItem<Executor> executor : items.executors()) {
      checkNameUnique(seen, "executor " + executor.value().id(), executor);
    }
  }

  private void checkNameUnique(
      Map<String, DeclaredItem<?>> seen, String name, DeclaredItem<?> item) {
    DeclaredItem<?> first = seen.putIfAbsent(name, item);
    if (first != null && reportedSections.add(item.section())) {
      String problem = "declares " + name + ", which " + first.fileAndLine() + " declares too";
      faults.add(item.fault(problem, "a name of its own"));
    }
  }

  private void checkAddressesUnique() {
    Map<InetSocketAddress, DeclaredItem<?>> seen = new HashMap<>();
    for (DeclaredItem<Worker> worker : items.workers()) {
      checkAddressUnique(seen, worker.value().address(), DeclarationKeys.WORKER_ADDRESS, worker);
    }
    for (DeclaredItem<Executor> executor : items.executors()) {
      checkAddressUnique(
          seen, executor.value().address(), DeclarationKeys.EXECUTOR_ADDRESS, executor);
    }
  }

  private void checkAddressUnique(
      Map<InetSocketAddress, DeclaredItem<?>> seen,
      InetSocketAddress address,
      Key<InetSocketAddress> key,
      DeclaredItem<?> item) {
    DeclaredItem<?> first = seen.putIfAbsent(address, item);
    if (first != null && reportedSections.add(item.section())) {
      String problem =
          "gives " + Addresses.format(address) + ", which " + first.fileAndLine() + " gives too";
      faults.add(item.fault(key, problem, "an address of its own for each backend server"));
    }
  }

  private void checkRacks() {
    Map<RackId, DeclaredItem<Worker>> seen = new HashMap<>();
    for (DeclaredItem<Worker> worker : items.workers()) {
      RackId rack = worker.value().rack();
      DeclaredItem<Worker> first = seen.putIfAbsent(rack, worker);
      if (first == null || first.value().domain().equals(worker.value().domain())) {
        continue;
      }
      if (reportedSections.add(worker.section())) {
        String problem =
            "puts rack %s in failure domain %s; %s puts it in %s"
                .formatted(
                    rack, worker.value().domain(), first.fileAndLine(), first.value().domain());
        faults.add(worker.fault(DeclarationKeys.RACK, problem, "each rack in one failure domain"));
      }
    }
  }
}
