package org.fescuehook.logic.scheduling;

import java.util.Arrays;
import org.fescuehook.model.job.Shape;

/** Chooses the racks in which a guaranteed shape that asks for adjacency stands. */
final class RackChooser {

  private final FleetIndex index;
  private final Shape shape;
  private final int[] fits;
  private final int first;

  /**
   * Prepares the choice.
   *
   * @param first number of the rack that is preferred among equals, and the ones after it
   */
  RackChooser(FleetIndex index, Shape shape, WorkerCapacities left, int first) {
    this.first = first;
    this.index = index;
    this.shape = shape;
    this.fits = new int[index.rackCount()];
    for (int w = 0; w < index.workerCount(); w++) {
      fits[index.rackOf(w)] += left.fits(w, shape.perMember(), shape.members());
    }
  }

  /** Returns the racks, tightest last; empty if the shape does not fit. */
  int[] choose() {
    int[] chosen = new int[shape.maxRacks()];
    int missing = shape.members();
    for (int i = 0; i < Math.min(chosen.length, fits.length); i++) {
      int tightest = tightest(missing);
      if (tightest >= 0) {
        chosen[i] = tightest;
        return Arrays.copyOf(chosen, i + 1);
      }
      int largest = largest();
      missing -= fits[largest];
      fits[largest] = 0;
      chosen[i] = largest;
    }
    return new int[0];
  }

  /** Returns the rack with the least room, then with the fewest workers, that suffices. */
  private int tightest(int members) {
    int best = -1;
    for (int i = 0; i < fits.length; i++) {
      int r = (first + i) % fits.length;
      if (fits[r] >= members && (best < 0 || isTighter(r, best))) {
        best = r;
      }
    }
    return best;
  }

  private boolean isTighter(int rack, int best) {
    if (fits[rack] != fits[best]) {
      return fits[rack] < fits[best];
    }
    return index.workersOfRack(rack).length < index.workersOfRack(best).length;
  }

  private int largest() {
    int largest = first % fits.length;
    for (int i = 1; i < fits.length; i++) {
      int r = (first + i) % fits.length;
      if (fits[r] > fits[largest]) {
        largest = r;
      }
    }
    return largest;
  }
}
