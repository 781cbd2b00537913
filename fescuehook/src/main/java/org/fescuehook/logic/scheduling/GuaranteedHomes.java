package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.fescuehook.model.fleet.Capacity;

/**
 * The workers on which the unused parts of all guaranteed shapes stand at one time, if every
 * borrower gave way. The whole set fits at once, so any number of holders can return together.
 */
final class GuaranteedHomes {

  /** Number of a worker that could not be found. */
  static final int NOWHERE = -1;

  private final int[][] homes;
  private final Room sum;
  private final boolean complete;

  private GuaranteedHomes(int[][] homes, Room sum, boolean complete) {
    this.homes = homes;
    this.sum = sum;
    this.complete = complete;
  }

  /**
   * Finds homes.
   *
   * @param room all that is not used within guarantees
   * @param wanted homes that are kept where they still fit, by number of the guaranteed shape
   */
  static GuaranteedHomes find(
      FleetIndex index, Entitlements entitlements, Room room, int[][] wanted) {
    GuaranteedHomes first = find(index, order(entitlements, wanted), room, wanted);
    if (first.complete || wanted.length == 0) {
      return first;
    }
    int[][] none = {};
    GuaranteedHomes second = find(index, order(entitlements, none), room, none);
    return second.complete ? second : first;
  }

  private static List<Entitlements.Copy> order(Entitlements entitlements, int[][] wanted) {
    List<Entitlements.Copy> order = new ArrayList<>(entitlements.copies());
    if (wanted.length == 0) {
      order.sort(
          Comparator.comparing((Entitlements.Copy c) -> isAnywhere(c))
              .thenComparing(c -> -c.shape.accelerators())
              .thenComparing(c -> -c.shape.members() * c.shape.perMember().cores()));
    }
    return order;
  }

  private static GuaranteedHomes find(
      FleetIndex index, List<Entitlements.Copy> order, Room room, int[][] wanted) {
    int[][] homes = new int[order.size()][];
    Room left = room.copy();
    Room sum = Room.empty(index.workerCount());
    List<Entitlements.Copy> homeless = new ArrayList<>();
    for (Entitlements.Copy copy : order) {
      if (wanted.length > 0 && keep(copy, wanted[copy.number], left, sum)) {
        homes[copy.number] = wanted[copy.number];
      } else {
        homeless.add(copy);
      }
    }
    boolean complete = true;
    for (Entitlements.Copy copy : homeless) {
      int[] found = settle(index, copy, left);
      homes[copy.number] = found;
      add(copy, found, sum);
      complete &= !contains(found, NOWHERE);
    }
    return new GuaranteedHomes(homes, sum, complete);
  }

  /** Shrinks the homes of parts that a job has begun to use. Call before the parts are used. */
  void release(List<Entitlements.Part> parts, Capacity perMember) {
    for (Entitlements.Part part : parts) {
      int home = homes[part.copy().number][part.slot()];
      if (home != NOWHERE) {
        sum.take(home, perMember.times(part.members()));
      }
    }
  }

  /** Tells whether every unused part has a home. */
  boolean isComplete() {
    return complete;
  }

  /** Tells whether each slot of a guaranteed shape has a home. */
  boolean isHome(int copy) {
    return !contains(homes[copy], NOWHERE);
  }

  /** Returns the homes of all slots, by number of the guaranteed shape. */
  int[][] bySlot() {
    return homes;
  }

  /** Returns the amounts that homes hold on each worker; not to be changed. */
  Room sum() {
    return sum;
  }

  /** Returns what a job within its guarantee may use: all but the homes of the other parts. */
  Room roomFor(Room unguaranteed, List<Entitlements.Part> parts) {
    Room room = unguaranteed.copy();
    room.takeAll(sum);
    for (Entitlements.Part part : parts) {
      int home = homes[part.copy().number][part.slot()];
      if (home != NOWHERE) {
        room.give(home, part.copy().slots[part.slot()]);
      }
    }
    return room;
  }

  private static boolean isAnywhere(Entitlements.Copy copy) {
    return copy.shape.maxRacks() == 0 || copy.shape.members() == 1;
  }

  private static boolean contains(int[] found, int value) {
    return Arrays.stream(found).anyMatch(f -> f == value);
  }

  private static void add(Entitlements.Copy copy, int[] found, Room sum) {
    for (int s = 0; s < found.length; s++) {
      if (found[s] != NOWHERE) {
        sum.give(found[s], copy.slots[s]);
      }
    }
  }

  private static boolean keep(Entitlements.Copy copy, int[] wanted, Room left, Room sum) {
    for (int s = 0; s < wanted.length; s++) {
      if (wanted[s] == NOWHERE || !left.contains(wanted[s], copy.slots[s])) {
        for (int back = 0; back < s; back++) {
          left.give(wanted[back], copy.slots[back]);
        }
        return false;
      }
      left.take(wanted[s], copy.slots[s]);
    }
    add(copy, wanted, sum);
    return true;
  }

  /** Settles a guaranteed shape as tightly as it goes, and takes its slots from the room. */
  private static int[] settle(FleetIndex index, Entitlements.Copy copy, Room left) {
    if (isAnywhere(copy)) {
      return settleAnywhere(index, copy, left);
    }
    int[] racks = new HomeRacks(index, copy, left).choose();
    int[] found = new int[copy.slots.length];
    for (int s = 0; s < found.length; s++) {
      found[s] = NOWHERE;
      for (int i = 0; i < racks.length && found[s] == NOWHERE; i++) {
        found[s] = tightest(index.workersOfRack(racks[i]), copy.slots[s], left);
      }
      if (found[s] != NOWHERE) {
        left.take(found[s], copy.slots[s]);
      }
    }
    return found;
  }

  private static int[] settleAnywhere(FleetIndex index, Entitlements.Copy copy, Room left) {
    int[] found = new int[copy.slots.length];
    for (int s = 0; s < found.length; s++) {
      found[s] = tightest(index, copy.slots[s], left);
      if (found[s] != NOWHERE) {
        left.take(found[s], copy.slots[s]);
      }
    }
    return found;
  }

  private static int tightest(FleetIndex index, Capacity slot, Room left) {
    int best = NOWHERE;
    for (int w = 0; w < index.workerCount(); w++) {
      best = tighter(best, w, slot, left);
    }
    return best;
  }

  private static int tightest(int[] workers, Capacity slot, Room left) {
    int best = NOWHERE;
    for (int w : workers) {
      best = tighter(best, w, slot, left);
    }
    return best;
  }

  private static int tighter(int best, int worker, Capacity slot, Room left) {
    if (!left.contains(worker, slot)) {
      return best;
    }
    if (best == NOWHERE || left.accelerators(worker) < left.accelerators(best)) {
      return worker;
    }
    boolean equal = left.accelerators(worker) == left.accelerators(best);
    return equal && left.cores(worker) < left.cores(best) ? worker : best;
  }
}
