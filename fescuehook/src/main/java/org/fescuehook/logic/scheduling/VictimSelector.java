package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.job.Shape;

/**
 * Selects attempts to stop so that a whole shape becomes free and as little work as possible is
 * lost.
 */
final class VictimSelector {

  private final FleetIndex index;

  VictimSelector(FleetIndex index) {
    this.index = index;
  }

  /**
   * An attempt that may be stopped.
   *
   * @param cost accelerator seconds lost by the stop
   */
  record Victim(PlacedAttempt attempt, double cost) {}

  /**
   * Attempts whose stops together free a shape.
   *
   * @param victims the attempts
   * @param cost accelerator seconds lost by all stops
   */
  record Selection(List<Victim> victims, double cost) {}

  /**
   * Returns the cheapest selection found, or empty if no set of these attempts frees the shape.
   *
   * @param available capacity that is free without any stop
   * @param limit maximum capacity that the shape may use on each worker
   */
  Optional<Selection> select(
      Shape shape,
      WorkerCapacities available,
      WorkerCapacities limit,
      boolean[] avoid,
      List<Victim> eligible) {
    List<Victim> sorted = new ArrayList<>(eligible);
    sorted.sort(Comparator.comparingDouble(v -> v.cost() / v.attempt().size()));
    Optional<Selection> best = Optional.empty();
    for (int[] racks : rackSets(shape, available, limit, avoid, eligible)) {
      Trial trial = new Trial(index, shape, available, limit, avoid, racks);
      Optional<Selection> found = trial.select(sorted);
      if (found.isPresent() && (best.isEmpty() || found.get().cost() < best.get().cost())) {
        best = found;
      }
    }
    return best;
  }

  /** Returns the sets of racks to try; an empty set stands for the whole fleet. */
  private List<int[]> rackSets(
      Shape shape,
      WorkerCapacities available,
      WorkerCapacities limit,
      boolean[] avoid,
      List<Victim> eligible) {
    if (shape.maxRacks() == 0 || shape.members() == 1) {
      return List.of(new int[0]);
    }
    int[] potential = potential(shape, available, limit, avoid, eligible);
    List<int[]> sets = new ArrayList<>();
    for (int firstRack = 0; firstRack < potential.length; firstRack++) {
      addSet(sets, firstRack, potential, shape);
    }
    return sets;
  }

  /**
   * Adds a set that starts with the given rack and continues with the racks that could hold the
   * most members. Adds none if the allowed number of racks cannot hold all members.
   */
  private static void addSet(List<int[]> sets, int firstRack, int[] potential, Shape shape) {
    List<Integer> set = new ArrayList<>(List.of(firstRack));
    int sum = potential[firstRack];
    while (sum < shape.members() && set.size() < shape.maxRacks()) {
      int nextRack = largestOutside(set, potential);
      if (nextRack < 0) {
        return;
      }
      set.add(nextRack);
      sum += potential[nextRack];
    }
    if (sum >= shape.members()) {
      sets.add(set.stream().mapToInt(Integer::intValue).toArray());
    }
  }

  private static int largestOutside(List<Integer> set, int[] potential) {
    int largest = -1;
    for (int r = 0; r < potential.length; r++) {
      if (!set.contains(r) && (largest < 0 || potential[r] > potential[largest])) {
        largest = r;
      }
    }
    return largest;
  }

  /** Returns how many members would fit in each rack if all eligible attempts were stopped. */
  private int[] potential(
      Shape shape,
      WorkerCapacities available,
      WorkerCapacities limit,
      boolean[] avoid,
      List<Victim> eligible) {
    WorkerCapacities afterStops = available.copy();
    for (Victim v : eligible) {
      afterStops.add(v.attempt().workers(), v.attempt().running().job().shape().perMember());
    }
    afterStops.limitTo(limit);
    int[] potential = new int[index.rackCount()];
    for (int w = 0; w < index.workerCount(); w++) {
      int fit = avoid[w] ? 0 : afterStops.fits(w, shape.perMember(), shape.members());
      potential[index.rackOf(w)] += fit;
    }
    return potential;
  }

  /** Tries stops within one set of racks. */
  private static final class Trial {
    private final FleetIndex index;
    private final Shape shape;
    private final WorkerCapacities available;
    private final WorkerCapacities limit;
    private final boolean[] avoid;
    private final boolean[] inRackSet;
    private int members;

    Trial(
        FleetIndex index,
        Shape shape,
        WorkerCapacities available,
        WorkerCapacities limit,
        boolean[] avoid,
        int[] racks) {
      this.index = index;
      this.shape = shape;
      this.available = available.copy();
      this.limit = limit;
      this.avoid = avoid;
      this.inRackSet = new boolean[index.rackCount()];
      for (int r = 0; r < inRackSet.length; r++) {
        inRackSet[r] = racks.length == 0;
      }
      for (int r : racks) {
        inRackSet[r] = true;
      }
      for (int w = 0; w < index.workerCount(); w++) {
        members += fits(w);
      }
    }

    Optional<Selection> select(List<Victim> sorted) {
      List<Victim> chosen = new ArrayList<>();
      for (Victim v : sorted) {
        if (members >= shape.members()) {
          break;
        }
        if (touchesRackSet(v)) {
          stop(v);
          chosen.add(v);
        }
      }
      if (members < shape.members()) {
        return Optional.empty();
      }
      dropUnneeded(chosen);
      double cost = chosen.stream().mapToDouble(Victim::cost).sum();
      return Optional.of(new Selection(chosen, cost));
    }

    /** Removes stops that are not needed after all, the most expensive first. */
    private void dropUnneeded(List<Victim> chosen) {
      List<Victim> byCostDescending = new ArrayList<>(chosen);
      byCostDescending.sort(Comparator.comparingDouble(v -> -v.cost()));
      for (Victim v : byCostDescending) {
        undoStop(v);
        if (members >= shape.members()) {
          chosen.remove(v);
        } else {
          stop(v);
        }
      }
    }

    private boolean touchesRackSet(Victim victim) {
      for (int w : victim.attempt().workers()) {
        if (w >= 0 && inRackSet[index.rackOf(w)]) {
          return true;
        }
      }
      return false;
    }

    private void stop(Victim victim) {
      var unit = victim.attempt().running().job().shape().perMember();
      for (int w : victim.attempt().workers()) {
        if (w >= 0) {
          members -= fits(w);
          available.add(w, unit);
          members += fits(w);
        }
      }
    }

    private void undoStop(Victim victim) {
      var unit = victim.attempt().running().job().shape().perMember();
      for (int w : victim.attempt().workers()) {
        if (w >= 0) {
          members -= fits(w);
          available.subtract(w, unit);
          members += fits(w);
        }
      }
    }

    private int fits(int worker) {
      if (avoid[worker] || !inRackSet[index.rackOf(worker)]) {
        return 0;
      }
      int fit = available.fits(worker, shape.perMember(), shape.members());
      return Math.min(fit, limit.fits(worker, shape.perMember(), shape.members()));
    }
  }
}
