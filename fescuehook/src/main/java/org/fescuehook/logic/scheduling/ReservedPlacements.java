package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.organisation.GuaranteedShape;

/**
 * The workers on which all guaranteed shapes stand at one time, if every borrower gave way. They
 * follow from the declarations and the usable workers alone, and only a shape's holder is within
 * its guarantee there; so any number of holders can return together. Immutable.
 */
final class ReservedPlacements {

  /** Number of a worker that could not be found. */
  static final int NOWHERE = -1;

  private static final int MOST_FIRST_RACKS = 16;

  private static final Comparator<GuaranteedInstance> LARGEST_FIRST =
      Comparator.comparing((GuaranteedInstance c) -> -c.shape().accelerators())
          .thenComparing(c -> -c.shape().members() * c.shape().perMember().cores());

  private static final Comparator<GuaranteedInstance> WIDEST_MEMBER_FIRST =
      Comparator.comparing((GuaranteedInstance c) -> -c.shape().perMember().accelerators())
          .thenComparing(LARGEST_FIRST);

  private static final Comparator<GuaranteedInstance> ADJACENT_FIRST =
      Comparator.comparing(c -> GuaranteedInstance.isAnywhere(c.shape()));

  /** Orders in which shapes are settled, tried until all find a home. */
  private static final List<Comparator<GuaranteedInstance>> ORDERS =
      List.of(
          ADJACENT_FIRST.thenComparing(LARGEST_FIRST),
          LARGEST_FIRST,
          ADJACENT_FIRST.thenComparing(WIDEST_MEMBER_FIRST),
          WIDEST_MEMBER_FIRST);

  private final List<GuaranteedInstance> copies;
  private final int[][] homes;
  private final long homeless;

  private ReservedPlacements(List<GuaranteedInstance> copies, int[][] homes) {
    this.copies = copies;
    this.homes = homes;
    this.homeless = copies.stream().filter(c -> !hasHome(c)).count();
  }

  /** Finds homes on the whole declared fleet. */
  static ReservedPlacements find(FleetIndex index, List<GuaranteedShape> guarantees) {
    List<GuaranteedInstance> copies = copies(guarantees);
    return settle(index, copies, copies, new int[copies.size()][], index.capacity());
  }

  /** Finds other homes for the shapes of which a worker is unusable; the rest stay if they can. */
  ReservedPlacements without(FleetIndex index, boolean[] unusable) {
    WorkerCapacities usable = index.capacity();
    for (int w = 0; w < unusable.length; w++) {
      if (unusable[w]) {
        usable.clear(w);
      }
    }
    int[][] kept = new int[copies.size()][];
    List<GuaranteedInstance> moving = new ArrayList<>();
    WorkerCapacities left = usable.copy();
    for (GuaranteedInstance copy : copies) {
      int[] own = homes[copy.number()];
      if (Arrays.stream(own).anyMatch(w -> w == NOWHERE || unusable[w])) {
        moving.add(copy);
      } else {
        kept[copy.number()] = own;
        left.take(own, copy.shape().perMember());
      }
    }
    ReservedPlacements moved = settle(index, copies, moving, kept, left);
    if (moved.isComplete()) {
      return moved;
    }
    ReservedPlacements afresh = settle(index, copies, copies, new int[copies.size()][], usable);
    return afresh.homeless < moved.homeless ? afresh : moved;
  }

  private static List<GuaranteedInstance> copies(List<GuaranteedShape> guarantees) {
    List<GuaranteedInstance> copies = new ArrayList<>();
    for (GuaranteedShape g : guarantees) {
      for (int i = 0; i < g.count(); i++) {
        copies.add(new GuaranteedInstance(copies.size(), g.organisation(), g.shape()));
      }
    }
    return copies;
  }

  private static ReservedPlacements settle(
      FleetIndex index,
      List<GuaranteedInstance> copies,
      List<GuaranteedInstance> moving,
      int[][] kept,
      WorkerCapacities left) {
    ReservedPlacements best = new ReservedPlacements(copies, nowhere(copies, kept));
    for (int rack = 0; rack < Math.min(MOST_FIRST_RACKS, index.rackCount()); rack++) {
      for (Comparator<GuaranteedInstance> order : ORDERS) {
        ReservedPlacements next = settle(index, copies, moving, kept, left.copy(), order, rack);
        best = next.homeless < best.homeless ? next : best;
        if (best.isComplete()) {
          return best;
        }
      }
    }
    return best;
  }

  private static int[][] nowhere(List<GuaranteedInstance> copies, int[][] kept) {
    int[][] homes = kept.clone();
    for (GuaranteedInstance copy : copies) {
      if (homes[copy.number()] == null) {
        homes[copy.number()] = new int[copy.shape().members()];
        Arrays.fill(homes[copy.number()], NOWHERE);
      }
    }
    return homes;
  }

  private static ReservedPlacements settle(
      FleetIndex index,
      List<GuaranteedInstance> copies,
      List<GuaranteedInstance> moving,
      int[][] kept,
      WorkerCapacities left,
      Comparator<GuaranteedInstance> order,
      int firstRack) {
    int[][] homes = kept.clone();
    List<GuaranteedInstance> ordered = new ArrayList<>(moving);
    ordered.sort(order);
    for (GuaranteedInstance copy : ordered) {
      homes[copy.number()] = settle(index, copy, left, firstRack);
    }
    return new ReservedPlacements(copies, homes);
  }

  /** Tells whether every guaranteed shape has a home. */
  boolean isComplete() {
    return homeless == 0;
  }

  List<GuaranteedInstance> copies() {
    return copies;
  }

  /** Returns the worker of each slot of a guaranteed shape; not to be changed. */
  int[] of(GuaranteedInstance copy) {
    return homes[copy.number()];
  }

  /** Tells whether a guaranteed shape has a home. */
  boolean hasHome(GuaranteedInstance copy) {
    int[] own = homes[copy.number()];
    return own[own.length - 1] != NOWHERE;
  }

  /** Settles a shape as tightly as it goes and takes its slots; all slots or none. */
  private static int[] settle(
      FleetIndex index, GuaranteedInstance copy, WorkerCapacities left, int firstRack) {
    int[] found = new int[copy.shape().members()];
    int[][] areas = areas(index, copy, left, firstRack);
    for (int s = 0; s < found.length; s++) {
      found[s] = tightest(areas, copy.shape().perMember(), left);
      if (found[s] == NOWHERE) {
        left.give(Arrays.copyOf(found, s), copy.shape().perMember());
        Arrays.fill(found, NOWHERE);
        return found;
      }
      left.take(found[s], copy.shape().perMember());
    }
    return found;
  }

  /** Returns the groups of workers among which slots may stand, the first to be filled first. */
  private static int[][] areas(
      FleetIndex index, GuaranteedInstance copy, WorkerCapacities left, int firstRack) {
    if (GuaranteedInstance.isAnywhere(copy.shape())) {
      int[] all = new int[index.workerCount()];
      Arrays.setAll(all, w -> w);
      return new int[][] {all};
    }
    int[] racks = new RackChooser(index, copy.shape(), left, firstRack).choose();
    int[][] areas = new int[racks.length][];
    Arrays.setAll(areas, i -> index.workersOfRack(racks[i]));
    return areas;
  }

  private static int tightest(int[][] areas, Capacity slot, WorkerCapacities left) {
    for (int[] workers : areas) {
      int best = NOWHERE;
      for (int w : workers) {
        best = left.contains(w, slot) && isTighter(w, best, left) ? w : best;
      }
      if (best != NOWHERE) {
        return best;
      }
    }
    return NOWHERE;
  }

  private static boolean isTighter(int worker, int best, WorkerCapacities left) {
    if (best == NOWHERE || left.accelerators(worker) < left.accelerators(best)) {
      return true;
    }
    return left.accelerators(worker) == left.accelerators(best)
        && left.cores(worker) < left.cores(best);
  }
}
