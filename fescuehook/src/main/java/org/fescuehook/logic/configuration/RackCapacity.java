package org.fescuehook.logic.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;

/** Free resources of the workers of each rack. */
final class RackCapacity {

  private final Map<RackId, List<Capacity>> racks = new LinkedHashMap<>();

  /** Begins with all workers free. */
  RackCapacity(List<Worker> workers) {
    for (Worker worker : workers) {
      racks.computeIfAbsent(worker.rack(), rack -> new ArrayList<>()).add(worker.capacity());
    }
  }

  /**
   * Returns how many members fit at once.
   *
   * @param maxRacks most racks that may be used; 0 for any number
   */
  int largestFit(Capacity member, int maxRacks) {
    long most = maxRacks == 0 ? Long.MAX_VALUE : maxRacks;
    return racks.values().stream()
        .map(workers -> fit(workers, member))
        .sorted(Comparator.reverseOrder())
        .limit(most)
        .reduce(0, RackCapacity::cappedSum);
  }

  /** Takes the resources of a shape and tells whether there was room; takes nothing if not. */
  boolean take(int members, Capacity member, int maxRacks) {
    List<RackFit> chosen = choose(members, member, maxRacks);
    if (chosen.stream().map(RackFit::fit).reduce(0, RackCapacity::cappedSum) < members) {
      return false;
    }
    int left = members;
    for (RackFit room : chosen) {
      left -= takeFromRack(room.workers(), member, left);
    }
    return true;
  }

  /** Prefers the fullest single rack that has room, else the racks with the most room. */
  private List<RackFit> choose(int members, Capacity member, int maxRacks) {
    List<RackFit> byRoom =
        racks.values().stream()
            .map(workers -> new RackFit(workers, fit(workers, member)))
            .sorted(Comparator.comparingInt(RackFit::fit))
            .toList();
    for (RackFit room : byRoom) {
      if (room.fit() >= members) {
        return List.of(room);
      }
    }
    int most = maxRacks == 0 ? byRoom.size() : Math.min(maxRacks, byRoom.size());
    return byRoom.reversed().subList(0, most);
  }

  private static int takeFromRack(List<Capacity> workers, Capacity member, int wanted) {
    int taken = 0;
    while (taken < wanted) {
      int fullest = fullestWithRoom(workers, member);
      if (fullest < 0) {
        return taken;
      }
      workers.set(fullest, workers.get(fullest).minus(member));
      taken++;
    }
    return taken;
  }

  private static int fullestWithRoom(List<Capacity> workers, Capacity member) {
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

  /** Free resources of a rack's workers and how many members fit there. */
  private record RackFit(List<Capacity> workers, int fit) {}

  private static int fit(List<Capacity> workers, Capacity member) {
    return workers.stream().map(worker -> worker.fits(member)).reduce(0, RackCapacity::cappedSum);
  }

  private static int cappedSum(int a, int b) {
    return (int) Math.min(Integer.MAX_VALUE, (long) a + b);
  }
}
