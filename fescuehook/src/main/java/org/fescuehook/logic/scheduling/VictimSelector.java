package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.job.Shape;

/** Selects the attempts that free a whole shape with the least work lost. */
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
  record Victim(PlacedAttempt occupant, double cost) {}

  /**
   * Attempts whose stop frees a shape.
   *
   * @param victims the attempts
   * @param cost accelerator seconds lost by all stops
   */
  record Selection(List<Victim> victims, double cost) {}

  /**
   * Returns the cheapest selection found, or empty if no set of these attempts frees the shape.
   *
   * @param room what is free without any stop
   * @param bound most that the shape may use on each worker
   */
  Optional<Selection> select(
      Shape shape,
      WorkerCapacities room,
      WorkerCapacities bound,
      boolean[] avoid,
      List<Victim> eligible) {
    List<Victim> sorted = new ArrayList<>(eligible);
    sorted.sort(Comparator.comparingDouble(v -> v.cost() / v.occupant().size()));
    Optional<Selection> best = Optional.empty();
    for (int[] racks : rackSets(shape, room, bound, avoid, eligible)) {
      Trial trial = new Trial(index, shape, room, bound, avoid, racks);
      Optional<Selection> found = trial.select(sorted);
      if (found.isPresent() && (best.isEmpty() || found.get().cost() < best.get().cost())) {
        best = found;
      }
    }
    return best;
  }

  /** Returns the sets of racks that are tried; an empty set stands for the whole fleet. */
  private List<int[]> rackSets(
      Shape shape,
      WorkerCapacities room,
      WorkerCapacities bound,
      boolean[] avoid,
      List<Victim> eligible) {
    if (shape.maxRacks() == 0 || shape.members() == 1) {
      return List.of(new int[0]);
    }
    int[] potential = potential(shape, room, bound, avoid, eligible);
    List<int[]> sets = new ArrayList<>();
    for (int first = 0; first < potential.length; first++) {
      addSet(sets, first, potential, shape);
    }
    return sets;
  }

  /** Adds a set that begins with one rack and goes on with those that could hold most members. */
  private static void addSet(List<int[]> sets, int first, int[] potential, Shape shape) {
    List<Integer> set = new ArrayList<>(List.of(first));
    int sum = potential[first];
    while (sum < shape.members() && set.size() < shape.maxRacks()) {
      int next = largestOutside(set, potential);
      if (next < 0) {
        return;
      }
      set.add(next);
      sum += potential[next];
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

  /** Returns how many members fit in each rack if all eligible attempts were stopped. */
  private int[] potential(
      Shape shape,
      WorkerCapacities room,
      WorkerCapacities bound,
      boolean[] avoid,
      List<Victim> eligible) {
    WorkerCapacities all = room.copy();
    for (Victim v : eligible) {
      all.give(v.occupant().workers(), v.occupant().running().job().shape().perMember());
    }
    all.lowerTo(bound);
    int[] potential = new int[index.rackCount()];
    for (int w = 0; w < index.workerCount(); w++) {
      int fit = avoid[w] ? 0 : all.fits(w, shape.perMember(), shape.members());
      potential[index.rackOf(w)] += fit;
    }
    return potential;
  }

  /** One set of racks with what stops would free there. */
  private static final class Trial {
    private final FleetIndex index;
    private final Shape shape;
    private final WorkerCapacities room;
    private final WorkerCapacities bound;
    private final boolean[] avoid;
    private final boolean[] inSet;
    private int members;

    Trial(
        FleetIndex index,
        Shape shape,
        WorkerCapacities room,
        WorkerCapacities bound,
        boolean[] avoid,
        int[] racks) {
      this.index = index;
      this.shape = shape;
      this.room = room.copy();
      this.bound = bound;
      this.avoid = avoid;
      this.inSet = new boolean[index.rackCount()];
      for (int r = 0; r < inSet.length; r++) {
        inSet[r] = racks.length == 0;
      }
      for (int r : racks) {
        inSet[r] = true;
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
        if (touches(v)) {
          stop(v);
          chosen.add(v);
        }
      }
      if (members < shape.members()) {
        return Optional.empty();
      }
      spareDearest(chosen);
      double cost = chosen.stream().mapToDouble(Victim::cost).sum();
      return Optional.of(new Selection(chosen, cost));
    }

    /** Takes back stops that turn out not to be needed, the dearest first. */
    private void spareDearest(List<Victim> chosen) {
      List<Victim> dearest = new ArrayList<>(chosen);
      dearest.sort(Comparator.comparingDouble(v -> -v.cost()));
      for (Victim v : dearest) {
        spare(v);
        if (members >= shape.members()) {
          chosen.remove(v);
        } else {
          stop(v);
        }
      }
    }

    private boolean touches(Victim victim) {
      for (int w : victim.occupant().workers()) {
        if (w >= 0 && inSet[index.rackOf(w)]) {
          return true;
        }
      }
      return false;
    }

    private void stop(Victim victim) {
      var unit = victim.occupant().running().job().shape().perMember();
      for (int w : victim.occupant().workers()) {
        if (w >= 0) {
          members -= fits(w);
          room.give(w, unit);
          members += fits(w);
        }
      }
    }

    private void spare(Victim victim) {
      var unit = victim.occupant().running().job().shape().perMember();
      for (int w : victim.occupant().workers()) {
        if (w >= 0) {
          members -= fits(w);
          room.take(w, unit);
          members += fits(w);
        }
      }
    }

    private int fits(int worker) {
      if (avoid[worker] || !inSet[index.rackOf(worker)]) {
        return 0;
      }
      int fit = room.fits(worker, shape.perMember(), shape.members());
      return Math.min(fit, bound.fits(worker, shape.perMember(), shape.members()));
    }
  }
}
