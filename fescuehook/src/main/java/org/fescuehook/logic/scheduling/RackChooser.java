package org.fescuehook.logic.scheduling;

import java.util.Arrays;
import org.fescuehook.model.job.Shape;

/** Chooses the racks for a guaranteed shape that limits the number of its racks. */
final class RackChooser {

  private final FleetIndex index;
  private final Shape shape;
  private final int[] fitsInRack;
  private final int firstRack;

  /**
   * Creates a chooser for one shape.
   *
   * @param available capacity that is not yet reserved
   * @param firstRack number of the rack that is preferred among equal racks, followed by the racks
   *     after it
   */
  RackChooser(FleetIndex index, Shape shape, WorkerCapacities available, int firstRack) {
    this.firstRack = firstRack;
    this.index = index;
    this.shape = shape;
    this.fitsInRack = new int[index.rackCount()];
    for (int w = 0; w < index.workerCount(); w++) {
      fitsInRack[index.rackOf(w)] += available.fits(w, shape.perMember(), shape.members());
    }
  }

  /** Returns the racks, the tightest one last; empty if the shape does not fit. */
  int[] choose() {
    int[] chosen = new int[shape.maxRacks()];
    int remaining = shape.members();
    for (int i = 0; i < Math.min(chosen.length, fitsInRack.length); i++) {
      int tightest = tightest(remaining);
      if (tightest >= 0) {
        chosen[i] = tightest;
        return Arrays.copyOf(chosen, i + 1);
      }
      int largest = largest();
      remaining -= fitsInRack[largest];
      fitsInRack[largest] = 0;
      chosen[i] = largest;
    }
    return new int[0];
  }

  /**
   * Returns the rack that holds all given members with the least capacity, then with the fewest
   * workers.
   */
  private int tightest(int members) {
    int best = -1;
    for (int i = 0; i < fitsInRack.length; i++) {
      int r = (firstRack + i) % fitsInRack.length;
      if (fitsInRack[r] >= members && (best < 0 || isTighter(r, best))) {
        best = r;
      }
    }
    return best;
  }

  private boolean isTighter(int rack, int best) {
    if (fitsInRack[rack] != fitsInRack[best]) {
      return fitsInRack[rack] < fitsInRack[best];
    }
    return index.workersOfRack(rack).length < index.workersOfRack(best).length;
  }

  private int largest() {
    int largest = firstRack % fitsInRack.length;
    for (int i = 1; i < fitsInRack.length; i++) {
      int r = (firstRack + i) % fitsInRack.length;
      if (fitsInRack[r] > fitsInRack[largest]) {
        largest = r;
      }
    }
    return largest;
  }
}
