package org.fescuehook.logic.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;

/** Tracks the free resources of the workers in each rack. */
final class RackCapacity {

  private final Map<RackId, List<Capacity>> racks = new LinkedHashMap<>();

  /** Creates the tracker with all resources free. */
  RackCapacity(List<Worker> workers) {
    for (Worker worker : workers) {
      racks.computeIfAbsent(worker.rack(), rack -> new ArrayList<>()).add(worker.capacity());
    }
  }

  /**
   * Returns how many members fit at the same time.
   *
   * @param maxRacks maximum number of racks that may be used; 0 for no limit
   */
  int largestFit(Capacity member, int maxRacks) {
    long most = maxRacks == 0 ? Long.MAX_VALUE : maxRacks;
    return racks.values().stream()
        .map(workers -> fit(workers, member))
        .sorted(Comparator.reverseOrder())
        .limit(most)
        .reduce(0, RackCapacity::cappedSum);
  }

  /**
   * Allocates the resources of a shape. Returns false and allocates nothing if they are not free.
   */
  boolean allocate(int members, Capacity member, int maxRacks) {
    List<RackFit> chosen = choose(members, member, maxRacks);
    if (chosen.stream().map(RackFit::fit).reduce(0, RackCapacity::cappedSum) < members) {
      return false;
    }
    int left = members;
    for (RackFit rack : chosen) {
      left -= allocateInRack(rack.workers(), member, left);
    }
    return true;
  }

  /**
   * Returns the fullest single rack that can hold all members, or else the racks that can hold the
   * most members.
   */
  private List<RackFit> choose(int members, Capacity member, int maxRacks) {
    List<RackFit> byFit =
        racks.values().stream()
            .map(workers -> new RackFit(workers, fit(workers, member)))
            .sorted(Comparator.comparingInt(RackFit::fit))
            .toList();
    for (RackFit rack : byFit) {
      if (rack.fit() >= members) {
        return List.of(rack);
      }
    }
    int most = maxRacks == 0 ? byFit.size() : Math.min(maxRacks, byFit.size());
    return byFit.reversed().subList(0, most);
  }

  private static int allocateInRack(List<Capacity> workers, Capacity member, int wanted) {
    int allocated = 0;
    while (allocated < wanted) {
      int fullest = fullestThatFits(workers, member);
      if (fullest < 0) {
        return allocated;
      }
      workers.set(fullest, workers.get(fullest).minus(member));
      allocated++;
    }
    return allocated;
  }

  private static int fullestThatFits(List<Capacity> workers, Capacity member) {
    int best = -1;
    for (int i = 0; i < workers.size(); i++) {
      if (!workers.get(i).contains(member)) {
        continue;
      }
      if (best < 0 || workers.get(i).accelerators() < workers.get(best).accelerators()) {
        best = i;
      }
    }
    return best;
  }

  /** Free resources of the workers in a rack, and how many members fit there. */
  private record RackFit(List<Capacity> workers, int fit) {}

  private static int fit(List<Capacity> workers, Capacity member) {
    return workers.stream().map(worker -> worker.fits(member)).reduce(0, RackCapacity::cappedSum);
  }

  private static int cappedSum(int a, int b) {
    return (int) Math.min(Integer.MAX_VALUE, (long) a + b);
  }
}
