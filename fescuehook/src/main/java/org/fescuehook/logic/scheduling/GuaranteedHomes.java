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
final class GuaranteedHomes {

  /** Number of a worker that could not be found. */
  static final int NOWHERE = -1;

  private final List<GuaranteeCopy> copies;
  private final int[][] homes;
  private final boolean complete;

  private GuaranteedHomes(List<GuaranteeCopy> copies, int[][] homes, boolean complete) {
    this.copies = copies;
    this.homes = homes;
    this.complete = complete;
  }

  /** Finds homes on the whole declared fleet. */
  static GuaranteedHomes find(FleetIndex index, List<GuaranteedShape> guarantees) {
    List<GuaranteeCopy> copies = copies(guarantees);
    int[][] homes = new int[copies.size()][];
    return settle(index, copies, copies, homes, index.capacity());
  }

  /** Finds other homes for the shapes of which a worker is unusable; the rest stay. */
  GuaranteedHomes without(FleetIndex index, boolean[] unusable) {
    Room left = index.capacity();
    for (int w = 0; w < unusable.length; w++) {
      if (unusable[w]) {
        left.clear(w);
      }
    }
    int[][] kept = new int[copies.size()][];
    List<GuaranteeCopy> homeless = new ArrayList<>();
    for (GuaranteeCopy copy : copies) {
      int[] own = homes[copy.number()];
      if (Arrays.stream(own).anyMatch(w -> w == NOWHERE || unusable[w])) {
        homeless.add(copy);
      } else {
        kept[copy.number()] = own;
        left.take(own, copy.shape().perMember());
      }
    }
    GuaranteedHomes moved = settle(index, copies, homeless, kept, left);
    return moved.complete ? moved : afresh(index, unusable, moved);
  }

  /** Settles all shapes anew where the homeless ones alone find no place. */
  private GuaranteedHomes afresh(FleetIndex index, boolean[] unusable, GuaranteedHomes partial) {
    Room left = index.capacity();
    for (int w = 0; w < unusable.length; w++) {
      if (unusable[w]) {
        left.clear(w);
      }
    }
    GuaranteedHomes all = settle(index, copies, copies, new int[copies.size()][], left);
    return all.complete ? all : partial;
  }

  private static List<GuaranteeCopy> copies(List<GuaranteedShape> guarantees) {
    List<GuaranteeCopy> copies = new ArrayList<>();
    for (GuaranteedShape g : guarantees) {
      for (int i = 0; i < g.count(); i++) {
        copies.add(new GuaranteeCopy(copies.size(), g.organisation(), g.shape()));
      }
    }
    return copies;
  }

  private static GuaranteedHomes settle(
      FleetIndex index,
      List<GuaranteeCopy> copies,
      List<GuaranteeCopy> homeless,
      int[][] homes,
      Room left) {
    List<GuaranteeCopy> order = new ArrayList<>(homeless);
    order.sort(
        Comparator.comparing((GuaranteeCopy c) -> GuaranteeCopy.isAnywhere(c.shape()))
            .thenComparing(c -> -c.shape().accelerators())
            .thenComparing(c -> -c.shape().members() * c.shape().perMember().cores()));
    boolean complete = true;
    for (GuaranteeCopy copy : order) {
      int[] found = settle(index, copy, left);
      homes[copy.number()] = found;
      complete &= found[found.length - 1] != NOWHERE;
    }
    return new GuaranteedHomes(copies, homes, complete);
  }

  /** Tells whether every guaranteed shape has a home. */
  boolean isComplete() {
    return complete;
  }

  List<GuaranteeCopy> copies() {
    return copies;
  }

  /** Returns the worker of each slot of a guaranteed shape; not to be changed. */
  int[] of(GuaranteeCopy copy) {
    return homes[copy.number()];
  }

  /** Tells whether a guaranteed shape has a home. */
  boolean hasHome(GuaranteeCopy copy) {
    int[] own = homes[copy.number()];
    return own[own.length - 1] != NOWHERE;
  }

  /** Settles a shape as tightly as it goes and takes its slots; all slots or none. */
  private static int[] settle(FleetIndex index, GuaranteeCopy copy, Room left) {
    int[] found = new int[copy.shape().members()];
    int[][] areas = areas(index, copy, left);
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
  private static int[][] areas(FleetIndex index, GuaranteeCopy copy, Room left) {
    if (GuaranteeCopy.isAnywhere(copy.shape())) {
      int[] all = new int[index.workerCount()];
      Arrays.setAll(all, w -> w);
      return new int[][] {all};
    }
    int[] racks = new HomeRacks(index, copy.shape(), left).choose();
    int[][] areas = new int[racks.length][];
    Arrays.setAll(areas, i -> index.workersOfRack(racks[i]));
    return areas;
  }

  private static int tightest(int[][] areas, Capacity slot, Room left) {
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

  private static boolean isTighter(int worker, int best, Room left) {
    if (best == NOWHERE || left.accelerators(worker) < left.accelerators(best)) {
      return true;
    }
    return left.accelerators(worker) == left.accelerators(best)
        && left.cores(worker) < left.cores(best);
  }
}
