package org.fescuehook.bench.capacity;

import java.util.ArrayList;
import java.util.List;

/** Collects the costs of one kind of process at several sizes. */
final class ClusterSlopes {
  private final String role;
  private final String size;
  private final List<Slope.Point> core = new ArrayList<>();
  private final List<Slope.Point> network = new ArrayList<>();
  private final List<Slope.Point> heap = new ArrayList<>();
  private final List<Slope.Point> resident = new ArrayList<>();

  ClusterSlopes(String role, String size) {
    this.role = role;
    this.size = size;
  }

  void add(int x, ClusterCost.Cost cost) {
    core.add(new Slope.Point(x, cost.corePercent()));
    network.add(new Slope.Point(x, cost.kilobytesPerSecond()));
    heap.add(new Slope.Point(x, cost.heapMegabytes()));
    resident.add(new Slope.Point(x, cost.residentMegabytes()));
  }

  List<Slope> slopes() {
    return List.of(
        new Slope(role + ": processor", size, "percent of a core", core),
        new Slope(role + ": network", size, "kB/s", network),
        new Slope(role + ": heap", size, "MiB", heap),
        new Slope(role + ": resident memory", size, "MiB", resident));
  }
}
