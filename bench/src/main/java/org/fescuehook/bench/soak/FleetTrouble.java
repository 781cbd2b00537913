package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.StandIns;

/**
 * The faults of the executors that are in force; of several losses of orders at one executor the
 * first counts.
 */
final class FleetTrouble {

  private final StandIns platform;
  private final List<Fault.LoseOrders> active = new ArrayList<>();
  private final List<Fault.FailRuns> failures = new ArrayList<>();

  FleetTrouble(StandIns platform) {
    this.platform = platform;
  }

  void add(Fault.LoseOrders fault) throws ClusterException, InterruptedException {
    active.add(fault);
    apply(List.of());
  }

  void remove(Fault.LoseOrders fault) throws ClusterException, InterruptedException {
    active.remove(fault);
    apply(List.of());
  }

  void add(Fault.FailRuns fault) throws ClusterException, InterruptedException {
    failures.add(fault);
    apply(List.of());
  }

  void remove(Fault.FailRuns fault) throws ClusterException, InterruptedException {
    failures.remove(fault);
    apply(List.of());
  }

  void crash(int executor) throws ClusterException, InterruptedException {
    apply(List.of(executor));
  }

  private void apply(List<Integer> crash) throws ClusterException, InterruptedException {
    List<Map<String, Object>> losses =
        active.stream()
            .map(
                fault ->
                    Map.<String, Object>of(
                        "executor", fault.executor(),
                        "permille", fault.permille(),
                        "late", fault.late()))
            .toList();
    List<Integer> failing =
        failures.stream().flatMap(fault -> fault.executors().stream()).distinct().toList();
    platform.faults(Map.of("fleet", Map.of("crash", crash, "losses", losses, "failing", failing)));
  }
}
