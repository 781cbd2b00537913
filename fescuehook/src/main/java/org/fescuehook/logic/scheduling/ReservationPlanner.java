package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Shape;

/** Finds when and where a blocked shape is expected to be free. */
final class ReservationPlanner {

  private final PlanState state;
  private final GangPlacer placer;
  private final boolean packing;
  private Optional<List<PlacedAttempt>> byEnd = Optional.empty();

  ReservationPlanner(PlanState state, GangPlacer placer, boolean packing) {
    this.state = state;
    this.placer = placer;
    this.packing = packing;
  }

  /** Returns a reservation, or empty if the shape is not free even after all attempts ended. */
  Optional<Reservation> reserve(Candidate candidate, boolean[] avoid) {
    Shape shape = candidate.job().shape();
    CapacityForecast growth =
        new CapacityForecast(state.index(), shape, state.free().copy(), avoid);
    double inSeconds = 0;
    for (PlacedAttempt o : byEnd()) {
      if (growth.isEnough()) {
        break;
      }
      growth.give(o.workers(), o.running().job().shape().perMember());
      inSeconds = o.leftSeconds();
    }
    if (!growth.isEnough()) {
      return Optional.empty();
    }
    WorkerCapacities late = growth.room;
    var preference = new WorkerPreference(state, shape, true, packing);
    Optional<int[]> workers = placer.place(shape, late, avoid, preference);
    if (workers.isEmpty()) {
      return Optional.empty();
    }
    late.take(workers.get(), shape.perMember());
    return Optional.of(new Reservation(candidate, inSeconds, late));
  }

  private List<PlacedAttempt> byEnd() {
    if (byEnd.isEmpty()) {
      List<PlacedAttempt> sorted = new ArrayList<>(state.occupants());
      sorted.sort(Comparator.comparingDouble(PlacedAttempt::leftSeconds));
      byEnd = Optional.of(sorted);
    }
    return byEnd.get();
  }

  /** Room that grows as attempts end, with the members that fit kept up to date. */
  private static final class CapacityForecast {
    private final FleetIndex index;
    private final Shape shape;
    private final WorkerCapacities room;
    private final boolean[] avoid;
    private final int[] rackFit;
    private int members;

    CapacityForecast(FleetIndex index, Shape shape, WorkerCapacities room, boolean[] avoid) {
      this.index = index;
      this.shape = shape;
      this.room = room;
      this.avoid = avoid;
      this.rackFit = new int[index.rackCount()];
      for (int w = 0; w < index.workerCount(); w++) {
        count(w, 1);
      }
    }

    void give(int[] workers, Capacity unit) {
      for (int w : workers) {
        if (w >= 0 && !avoid[w]) {
          count(w, -1);
          room.give(w, unit);
          count(w, 1);
        }
      }
    }

    private void count(int worker, int sign) {
      int fit = avoid[worker] ? 0 : room.fits(worker, shape.perMember(), shape.members());
      rackFit[index.rackOf(worker)] += sign * fit;
      members += sign * fit;
    }

    boolean isEnough() {
      if (members < shape.members()) {
        return false;
      }
      if (shape.maxRacks() == 0 || shape.members() == 1) {
        return true;
      }
      int[] fits = rackFit.clone();
      int missing = shape.members();
      for (int i = 0; i < shape.maxRacks() && missing > 0; i++) {
        missing -= takeLargest(fits);
      }
      return missing <= 0;
    }

    private static int takeLargest(int[] fits) {
      int largest = 0;
      for (int r = 1; r < fits.length; r++) {
        if (fits[r] > fits[largest]) {
          largest = r;
        }
      }
      int taken = fits[largest];
      fits[largest] = 0;
      return taken;
    }
  }
}
