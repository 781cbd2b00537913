package org.fescuehook.logic.scheduling;

import java.util.Arrays;
import org.fescuehook.model.fleet.Capacity;

/** Chooses the racks in which a guaranteed shape that asks for adjacency stands. */
final class HomeRacks {

  private final FleetIndex index;
  private final Entitlements.Copy copy;
  private final int[] slotsThatFit;

  HomeRacks(FleetIndex index, Entitlements.Copy copy, Room left) {
    this.index = index;
    this.copy = copy;
    this.slotsThatFit = new int[index.rackCount()];
    for (int r = 0; r < slotsThatFit.length; r++) {
      slotsThatFit[r] = slotsThatFit(r, left);
    }
  }

  /** Returns the racks, tightest last; empty if the shape does not fit. */
  int[] choose() {
    int[] chosen = new int[copy.shape.maxRacks()];
    int missing = 0;
    for (Capacity slot : copy.slots) {
      missing += slot.equals(Capacity.NONE) ? 0 : 1;
    }
    for (int i = 0; i < chosen.length; i++) {
      int tightest = tightest(missing);
      if (tightest >= 0) {
        chosen[i] = tightest;
        return Arrays.copyOf(chosen, i + 1);
      }
      int largest = largest();
      missing -= slotsThatFit[largest];
      slotsThatFit[largest] = 0;
      chosen[i] = largest;
    }
    return new int[0];
  }

  /** Returns how many of the slots that are not used up fit in a rack at once. */
  private int slotsThatFit(int rack, Room left) {
    Room trial = left.copy();
    int count = 0;
    for (Capacity slot : copy.slots) {
      if (!slot.equals(Capacity.NONE) && takeFirst(index.workersOfRack(rack), slot, trial)) {
        count++;
      }
    }
    return count;
  }

  private static boolean takeFirst(int[] workers, Capacity slot, Room trial) {
    for (int w : workers) {
      if (trial.contains(w, slot)) {
        trial.take(w, slot);
        return true;
      }
    }
    return false;
  }

  private int tightest(int members) {
    int best = -1;
    for (int r = 0; r < slotsThatFit.length; r++) {
      if (slotsThatFit[r] < members) {
        continue;
      }
      if (best < 0 || index.workersOfRack(r).length < index.workersOfRack(best).length) {
        best = r;
      }
    }
    return best;
  }

  private int largest() {
    int largest = 0;
    for (int r = 1; r < slotsThatFit.length; r++) {
      if (slotsThatFit[r] > slotsThatFit[largest]) {
        largest = r;
      }
    }
    return largest;
  }
}
