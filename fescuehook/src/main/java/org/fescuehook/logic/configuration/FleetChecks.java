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

/** Checks that the fleet is not empty and that names, addresses and racks are not mixed up. */
final class FleetChecks {

  private final DeclaredItems items;
  private final List<Fault> faults = new ArrayList<>();
  private final Set<IniSection> reported = new HashSet<>();

  FleetChecks(DeclaredItems items) {
    this.items = items;
  }

  /** Returns the faults; of a range of many alike items the first one only. */
  List<Fault> faults() {
    checkNotEmpty();
    checkNames();
    checkAddresses();
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

  private void checkNames() {
    Map<String, Placed<?>> seen = new HashMap<>();
    for (Placed<Worker> worker : items.workers()) {
      checkName(seen, "worker " + worker.value().id(), worker);
    }
    for (Placed<Executor> executor : items.executors()) {
      checkName(seen, "executor " + executor.value().id(), executor);
    }
  }

  private void checkName(Map<String, Placed<?>> seen, String name, Placed<?> item) {
    Placed<?> first = seen.putIfAbsent(name, item);
    if (first != null && reported.add(item.section())) {
      String problem = "declares " + name + ", which " + first.where() + " declares too";
      faults.add(item.fault(problem, "a name of its own"));
    }
  }

  private void checkAddresses() {
    Map<InetSocketAddress, Placed<?>> seen = new HashMap<>();
    for (Placed<Worker> worker : items.workers()) {
      checkAddress(seen, worker.value().address(), DeclarationKeys.WORKER_ADDRESS, worker);
    }
    for (Placed<Executor> executor : items.executors()) {
      checkAddress(seen, executor.value().address(), DeclarationKeys.EXECUTOR_ADDRESS, executor);
    }
  }

  private void checkAddress(
      Map<InetSocketAddress, Placed<?>> seen,
      InetSocketAddress address,
      Key<InetSocketAddress> key,
      Placed<?> item) {
    Placed<?> first = seen.putIfAbsent(address, item);
    if (first != null && reported.add(item.section())) {
      String problem =
          "gives " + Addresses.format(address) + ", which " + first.where() + " gives too";
      faults.add(item.fault(key, problem, "an address of its own for each backend server"));
    }
  }

  private void checkRacks() {
    Map<RackId, Placed<Worker>> seen = new HashMap<>();
    for (Placed<Worker> worker : items.workers()) {
      RackId rack = worker.value().rack();
      Placed<Worker> first = seen.putIfAbsent(rack, worker);
      if (first == null || first.value().domain().equals(worker.value().domain())) {
        continue;
      }
      if (reported.add(worker.section())) {
        String problem =
            "puts rack %s in failure domain %s; %s puts it in %s"
                .formatted(rack, worker.value().domain(), first.where(), first.value().domain());
        faults.add(worker.fault(DeclarationKeys.RACK, problem, "each rack in one failure domain"));
      }
    }
  }
}
