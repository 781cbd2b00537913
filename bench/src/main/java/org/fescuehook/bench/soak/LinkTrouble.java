package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.StandIns;

/** The cuts between VMs and executors that are in force. */
final class LinkTrouble {

  private final StandIns platform;
  private final List<Fault.CutExecutors> active = new ArrayList<>();

  LinkTrouble(StandIns platform) {
    this.platform = platform;
  }

  void add(Fault.CutExecutors fault) throws ClusterException, InterruptedException {
    active.add(fault);
    apply();
  }

  void remove(Fault.CutExecutors fault) throws ClusterException, InterruptedException {
    active.remove(fault);
    apply();
  }

  private void apply() throws ClusterException, InterruptedException {
    List<Map<String, Object>> cuts = new ArrayList<>();
    for (Fault.CutExecutors cut : active) {
      cuts.add(
          Map.of(
              "vms", cut.vms(),
              "executors", cut.executors(),
              "lossPercent", cut.lossPercent()));
    }
    platform.faults(Map.of("links", Map.of("cuts", cuts)));
  }
}
