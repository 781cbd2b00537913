package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.plan.StepTiming.Prospect;
import org.fescuehook.model.batch.ResourceVector;

/**
 * The reservations of one plan. Steps that are considered after a gang with a reservation may use
 * the reserved capacity only if they are expected to end before the gang starts.
 */
final class PlanReservations {

  /** A second reservation of a rank would keep much more of the fleet from work of lower ranks. */
  private static final int MAX_PER_RANK = 1;

  /**
   * Searches for a reservation in one plan; each looks at all runs of the fleet in the worst case.
   */
  private static final int MAX_SEARCHES = 4;

  /**
   * Farthest expected start for which capacity is held. It exceeds the duration of most runs, so
   * that a rack can become free of them. Capacity held for longer would be idle for too long.
   */
  static final long HORIZON_NANOS = Duration.ofSeconds(12).toNanos();

  private final FleetCapacity available;
  private final FleetCapacity expected;
  private final FleetCapacity total;
  private final ExpectedEnds ends;
  private final ReservationBook book;
  private final long nowNanos;
  private final List<Reservation> reservations = new ArrayList<>();
  private final Map<Rank, Integer> perRank = new HashMap<>();
  private int searches;

  /** Accelerators that tasks need which were considered before and did not start. */
  private long acceleratorsAhead;

  private long earliestStart = Long.MAX_VALUE;
  private int spareAccelerators = Integer.MAX_VALUE;

  /** The capacities that steps see which are not expected to end before the gangs start. */
  private Optional<Views> views = Optional.empty();

  /**
   * Copies of capacities.
   *
   * @param available what is free now, without what is reserved
   * @param expected what is free once runs that are being stopped have ended, without the same
   * @param promised what is free now, less all that the gangs with reservations need
   */
  private record Views(FleetCapacity available, FleetCapacity expected, FleetCapacity promised) {
    void reserve(TaskPlacement placement) {
      available.reserve(placement);
      expected.reserve(placement);
      promised.reserve(placement);
    }
  }

  PlanReservations(
      FleetCapacity available,
      FleetCapacity expected,
      FleetCapacity total,
      ExpectedEnds ends,
      ReservationBook book,
      long nowNanos) {
    this.available = available;
    this.expected = expected;
    this.total = total;
    this.ends = ends;
    this.book = book;
    this.nowNanos = nowNanos;
  }

  /** Returns the reservations made so far. */
  List<Reservation> made() {
    return List.copyOf(reservations);
  }

  /** Tells whether reservations limit a step: it is not expected to end before they begin. */
  boolean limit(WaitingStep waiting) {
    return views.isPresent() && ends.endIfStartedNow(waiting) > earliestStart;
  }

  /** Returns what is free now for a step that reservations limit. */
  FleetCapacity available() {
    return views.map(Views::available).orElse(available);
  }

  /** Returns what will be free after stops for a step that reservations limit. */
  FleetCapacity expected() {
    return views.map(Views::expected).orElse(expected);
  }

  /** Returns how many accelerators a step that reservations limit and is not urgent may take. */
  int spareAccelerators() {
    return Math.max(0, spareAccelerators);
  }

  /** Counts what the plan places or keeps for a step. */
  void reserve(TaskPlacement placement, boolean limited) {
    views.ifPresent(present -> present.reserve(placement));
    if (limited) {
      spareAccelerators -= placement.step().spec().demand().accelerators();
    }
  }

  /**
   * Tells whether a gang gets a reservation if it is expected to fit soon: it is the first of its
   * rank that the plan can neither start nor make room for.
   */
  boolean mayReserve(WaitingStep waiting) {
    return waiting.step().job().accepted()
        && waiting.timing().prospect() != Prospect.TOO_LATE
        && perRank.getOrDefault(waiting.rank(), 0) < MAX_PER_RANK
        && searches < MAX_SEARCHES
        && book.mayReserve(waiting.step(), nowNanos);
  }

  /** Records that some tasks, which no gang holds together, do not start with this plan. */
  void waitingAhead(WaitingStep waiting, int tasks) {
    acceleratorsAhead += (long) tasks * waiting.step().spec().demand().accelerators();
  }

  /**
   * Makes a reservation for a gang if it is expected to fit soon.
   *
   * @param keptFree accelerators of the fleet that the gang has to leave free
   */
  void reserveLater(WaitingStep waiting, boolean nearOnly, double keptFree) {
    // What is freed goes to the tasks considered before first.
    double keptFreeAndAhead = keptFree + acceleratorsAhead;
    int needed = waiting.step().spec().demand().accelerators() * waiting.tasks().size();
    if (needed > 0 && needed + keptFreeAndAhead > total.accelerators()) {
      return;
    }
    searches++;
    FleetCapacity capacity = views.map(Views::promised).orElse(available).copy();
    Reservation.find(waiting, capacity, nearOnly, keptFreeAndAhead, ends).ifPresent(this::add);
  }

  private void add(Reservation reservation) {
    if (views.isEmpty()) {
      views = Optional.of(new Views(available.copy(), expected.copy(), available.copy()));
    }
    Views present = views.get();
    reservation.placements().forEach(present.promised()::reserve);
    for (Map.Entry<ExecutorState, ResourceVector> entry : reservation.unreserved().entrySet()) {
      present.available().limitFree(entry.getKey(), entry.getValue());
      present.expected().limitFree(entry.getKey(), entry.getValue());
    }
    reservations.add(reservation);
    perRank.merge(reservation.waiting().rank(), 1, Integer::sum);
    earliestStart = Math.min(earliestStart, reservation.startNanos());
    spareAccelerators = Math.min(spareAccelerators, reservation.spareAccelerators());
  }
}
