package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Shape;

/** Predicts when and where a blocked shape will be free. */
final class ReservationPlanner {

  private final PlanState state;
  private final GangPlacer placer;
  private final boolean packing;
  private Optional<List<PlacedAttempt>> attemptsByEnd = Optional.empty();

  ReservationPlanner(PlanState state, GangPlacer placer, boolean packing) {
    this.state = state;
    this.placer = placer;
    this.packing = packing;
  }

  /** Returns a reservation, or empty if the shape would not fit even after all attempts ended. */
  Optional<Reservation> reserve(Candidate candidate, boolean[] avoid) {
    Shape shape = candidate.job().shape();
    CapacityForecast forecast =
        new CapacityForecast(state.index(), shape, state.free().copy(), avoid);
    double secondsUntilFree = 0;
    for (PlacedAttempt a : attemptsByEnd()) {
      if (forecast.isSufficient()) {
        break;
      }
      forecast.release(a.workers(), a.running().job().shape().perMember());
      secondsUntilFree = a.remainingSeconds();
    }
    if (!forecast.isSufficient()) {
      return Optional.empty();
    }
    WorkerCapacities unreserved = forecast.available;
    var preference = new WorkerPreference(state, shape, true, packing);
    Optional<int[]> workers = placer.place(shape, unreserved, avoid, preference);
    if (workers.isEmpty()) {
      return Optional.empty();
    }
    unreserved.subtract(workers.get(), shape.perMember());
    return Optional.of(new Reservation(candidate, secondsUntilFree, unreserved));
  }

  private List<PlacedAttempt> attemptsByEnd() {
    if (attemptsByEnd.isEmpty()) {
      List<PlacedAttempt> sorted = new ArrayList<>(state.attempts());
      sorted.sort(Comparator.comparingDouble(PlacedAttempt::remainingSeconds));
      attemptsByEnd = Optional.of(sorted);
    }
    return attemptsByEnd.get();
  }

  /** Forecast of the free capacity as attempts end, with the number of members that fit. */
  private static final class CapacityForecast {
    private final FleetIndex index;
    private final Shape shape;
    private final WorkerCapacities available;
    private final boolean[] avoid;
    private final int[] fitsInRack;
    private int members;

    CapacityForecast(FleetIndex index, Shape shape, WorkerCapacities available, boolean[] avoid) {
      this.index = index;
      this.shape = shape;
      this.available = available;
      this.avoid = avoid;
      this.fitsInRack = new int[index.rackCount()];
      for (int w = 0; w < index.workerCount(); w++) {
        countFits(w, 1);
      }
    }

    void release(int[] workers, Capacity unit) {
      for (int w : workers) {
        if (w >= 0 && !avoid[w]) {
          countFits(w, -1);
          available.add(w, unit);
          countFits(w, 1);
        }
      }
    }

    private void countFits(int worker, int sign) {
      int fits = avoid[worker] ? 0 : available.fits(worker, shape.perMember(), shape.members());
      fitsInRack[index.rackOf(worker)] += sign * fits;
      members += sign * fits;
    }

    boolean isSufficient() {
      if (members < shape.members()) {
        return false;
      }
      if (shape.maxRacks() == 0 || shape.members() == 1) {
        return true;
      }
      int[] fits = fitsInRack.clone();
      int remaining = shape.members();
      for (int i = 0; i < shape.maxRacks() && remaining > 0; i++) {
        remaining -= takeLargest(fits);
      }
      return remaining <= 0;
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
