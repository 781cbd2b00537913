package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.organisation.GuaranteedShape;

/**
 * The workers that are reserved for the guaranteed shapes, such that all shapes fit at the same
 * time once all borrowers are preempted. Computed only from the declarations and the usable
 * workers. An organisation is within its guarantee only on the workers reserved for its own shapes,
 * so any number of organisations can claim their guarantees at the same time. Immutable.
 */
final class ReservedPlacements {

  /** Stands for the worker of a slot that could not be placed. */
  static final int UNPLACED = -1;

  /** Number of racks that are tried as the first one to fill. */
  private static final int MAX_FIRST_RACKS = 16;

  private static final Comparator<GuaranteedInstance> LARGEST_FIRST =
      Comparator.comparing((GuaranteedInstance i) -> -i.shape().accelerators())
          .thenComparing(i -> -i.shape().members() * i.shape().perMember().cores());

  private static final Comparator<GuaranteedInstance> LARGEST_MEMBER_FIRST =
      Comparator.comparing((GuaranteedInstance i) -> -i.shape().perMember().accelerators())
          .thenComparing(LARGEST_FIRST);

  private static final Comparator<GuaranteedInstance> RACK_LIMITED_FIRST =
      Comparator.comparing(i -> GuaranteedInstance.allowsAnyRack(i.shape()));

  /** Orders in which shapes are placed; tried one after the other until all shapes are placed. */
  private static final List<Comparator<GuaranteedInstance>> ORDERS =
      List.of(
          RACK_LIMITED_FIRST.thenComparing(LARGEST_FIRST),
          LARGEST_FIRST,
          RACK_LIMITED_FIRST.thenComparing(LARGEST_MEMBER_FIRST),
          LARGEST_MEMBER_FIRST);

  private final List<GuaranteedInstance> instances;
  private final int[][] placements;
  private final long unplacedCount;

  private ReservedPlacements(List<GuaranteedInstance> instances, int[][] placements) {
    this.instances = instances;
    this.placements = placements;
    this.unplacedCount = instances.stream().filter(i -> !isPlaced(i)).count();
  }

  /** Finds placements on the whole declared fleet. */
  static ReservedPlacements find(FleetIndex index, List<GuaranteedShape> guarantees) {
    List<GuaranteedInstance> instances = instances(guarantees);
    return place(index, instances, instances, new int[instances.size()][], index.capacity());
  }

  /**
   * Finds other placements for the shapes that have a slot on an unusable worker. All other shapes
   * keep their placements, unless placing all shapes anew leaves fewer of them unplaced.
   */
  ReservedPlacements without(FleetIndex index, boolean[] unusable) {
    WorkerCapacities usable = index.capacity();
    for (int w = 0; w < unusable.length; w++) {
      if (unusable[w]) {
        usable.clear(w);
      }
    }
    int[][] kept = new int[instances.size()][];
    List<GuaranteedInstance> moving = new ArrayList<>();
    WorkerCapacities available = usable.copy();
    for (GuaranteedInstance instance : instances) {
      int[] workers = placements[instance.number()];
      if (Arrays.stream(workers).anyMatch(w -> w == UNPLACED || unusable[w])) {
        moving.add(instance);
      } else {
        kept[instance.number()] = workers;
        available.subtract(workers, instance.shape().perMember());
      }
    }
    ReservedPlacements moved = place(index, instances, moving, kept, available);
    if (moved.isComplete()) {
      return moved;
    }
    ReservedPlacements allAnew =
        place(index, instances, instances, new int[instances.size()][], usable);
    return allAnew.unplacedCount < moved.unplacedCount ? allAnew : moved;
  }

  private static List<GuaranteedInstance> instances(List<GuaranteedShape> guarantees) {
    List<GuaranteedInstance> instances = new ArrayList<>();
    for (GuaranteedShape g : guarantees) {
      for (int i = 0; i < g.count(); i++) {
        instances.add(new GuaranteedInstance(instances.size(), g.organisation(), g.shape()));
      }
    }
    return instances;
  }

  private static ReservedPlacements place(
      FleetIndex index,
      List<GuaranteedInstance> instances,
      List<GuaranteedInstance> moving,
      int[][] kept,
      WorkerCapacities available) {
    ReservedPlacements best = new ReservedPlacements(instances, withUnplaced(instances, kept));
    for (int rack = 0; rack < Math.min(MAX_FIRST_RACKS, index.rackCount()); rack++) {
      for (Comparator<GuaranteedInstance> order : ORDERS) {
        ReservedPlacements candidate =
            place(index, instances, moving, kept, available.copy(), order, rack);
        best = candidate.unplacedCount < best.unplacedCount ? candidate : best;
        if (best.isComplete()) {
          return best;
        }
      }
    }
    return best;
  }

  private static int[][] withUnplaced(List<GuaranteedInstance> instances, int[][] kept) {
    int[][] placements = kept.clone();
    for (GuaranteedInstance instance : instances) {
      if (placements[instance.number()] == null) {
        placements[instance.number()] = new int[instance.shape().members()];
        Arrays.fill(placements[instance.number()], UNPLACED);
      }
    }
    return placements;
  }

  private static ReservedPlacements place(
      FleetIndex index,
      List<GuaranteedInstance> instances,
      List<GuaranteedInstance> moving,
      int[][] kept,
      WorkerCapacities available,
      Comparator<GuaranteedInstance> order,
      int firstRack) {
    int[][] placements = kept.clone();
    List<GuaranteedInstance> ordered = new ArrayList<>(moving);
    ordered.sort(order);
    for (GuaranteedInstance instance : ordered) {
      placements[instance.number()] = place(index, instance, available, firstRack);
    }
    return new ReservedPlacements(instances, placements);
  }

  /** Returns whether every guaranteed shape is placed. */
  boolean isComplete() {
    return unplacedCount == 0;
  }

  List<GuaranteedInstance> instances() {
    return instances;
  }

  /** Returns the number of the worker of each slot of a guaranteed shape; must not be modified. */
  int[] workersOf(GuaranteedInstance instance) {
    return placements[instance.number()];
  }

  /** Returns whether a guaranteed shape is placed. */
  boolean isPlaced(GuaranteedInstance instance) {
    int[] workers = placements[instance.number()];
    return workers[workers.length - 1] != UNPLACED;
  }

  /**
   * Places a shape as tightly as possible and subtracts its slots; places either all slots or none.
   */
  private static int[] place(
      FleetIndex index, GuaranteedInstance instance, WorkerCapacities available, int firstRack) {
    int[] workers = new int[instance.shape().members()];
    int[][] workerGroups = workerGroups(index, instance, available, firstRack);
    for (int s = 0; s < workers.length; s++) {
      workers[s] = tightestWorker(workerGroups, instance.shape().perMember(), available);
      if (workers[s] == UNPLACED) {
        available.add(Arrays.copyOf(workers, s), instance.shape().perMember());
        Arrays.fill(workers, UNPLACED);
        return workers;
      }
      available.subtract(workers[s], instance.shape().perMember());
    }
    return workers;
  }

  /**
   * Returns the groups of workers on which slots may be placed, in the order in which to fill them.
   */
  private static int[][] workerGroups(
      FleetIndex index, GuaranteedInstance instance, WorkerCapacities available, int firstRack) {
    if (GuaranteedInstance.allowsAnyRack(instance.shape())) {
      int[] all = new int[index.workerCount()];
      Arrays.setAll(all, w -> w);
      return new int[][] {all};
    }
    int[] racks = new RackChooser(index, instance.shape(), available, firstRack).choose();
    int[][] workerGroups = new int[racks.length][];
    Arrays.setAll(workerGroups, i -> index.workersOfRack(racks[i]));
    return workerGroups;
  }

  private static int tightestWorker(
      int[][] workerGroups, Capacity slot, WorkerCapacities available) {
    for (int[] workers : workerGroups) {
      int best = UNPLACED;
      for (int w : workers) {
        best = available.contains(w, slot) && isTighter(w, best, available) ? w : best;
      }
      if (best != UNPLACED) {
        return best;
      }
    }
    return UNPLACED;
  }

  private static boolean isTighter(int worker, int best, WorkerCapacities available) {
    if (best == UNPLACED || available.accelerators(worker) < available.accelerators(best)) {
      return true;
    }
    return available.accelerators(worker) == available.accelerators(best)
        && available.cores(worker) < available.cores(best);
  }
}
