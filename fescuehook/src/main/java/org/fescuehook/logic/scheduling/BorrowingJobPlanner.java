package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.scheduling.Scheduler.StopCause;
import org.fescuehook.logic.scheduling.VictimSelector.Selection;
import org.fescuehook.logic.scheduling.VictimSelector.Victim;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.Shape;

/** Starts jobs on capacity outside their organisations' guarantees. */
final class BorrowingJobPlanner {

  private static final int MAX_RESERVATIONS = 3;
  private static final int MAX_MOVE_TRIALS = 8;

  private final PlanState state;
  private final GangPlacer placer;
  private final PolicyFeatures features;
  private final StopFactory stopFactory;
  private final VictimRules victimRules;
  private final GuaranteedJobPlanner guaranteedPlanner;
  private final QuotaEnforcer quotaEnforcer;
  private final ReservationPlanner planner;
  private final List<Reservation> reservations = new ArrayList<>();
  private final Set<BlockedShape> blocked = new HashSet<>();
  private int moveTrials;

  BorrowingJobPlanner(
      PlanState state,
      GangPlacer placer,
      PolicyFeatures features,
      JobOrder order,
      GuaranteedJobPlanner guaranteedPlanner,
      QuotaEnforcer quotaEnforcer) {
    this.quotaEnforcer = quotaEnforcer;
    this.guaranteedPlanner = guaranteedPlanner;
    this.state = state;
    this.placer = placer;
    this.features = features;
    this.stopFactory = new StopFactory(state.view().declarations().policy());
    this.victimRules = new VictimRules(state, order);
    this.planner = new ReservationPlanner(state, placer, features.packing());
  }

  /**
   * A shape that did not fit in the free capacity. Free capacity only shrinks in the course of a
   * plan, so the shape will not fit later as long as no fewer reservations overlap its run time.
   */
  private record BlockedShape(Shape shape, int overlappingReservations) {}

  /** Starts a job, allocates or reserves capacity for it, or explains what it lacks. */
  void plan(Candidate candidate) {
    if (!candidate.mayBorrow()) {
      state.explain(candidate, "guarantees of its organisation are in use; may not borrow", 0);
      return;
    }
    if (!quotaEnforcer.allows(candidate)) {
      return;
    }
    if (startNow(candidate) || guaranteedPlanner.reclaim(candidate) || stopOthers(candidate)) {
      return;
    }
    reserve(candidate);
  }

  private boolean startNow(Candidate candidate) {
    Job job = candidate.job();
    BlockedShape key =
        new BlockedShape(job.shape(), countOverlapping(candidate.remainingSeconds()));
    if (blocked.contains(key)) {
      return false;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    Optional<int[]> workers = place(candidate, capacityFor(candidate.remainingSeconds()), avoid);
    if (workers.isEmpty()) {
      if (candidate.waiting().avoid().isEmpty()) {
        blocked.add(key);
      }
      return false;
    }
    state.start(candidate, workers.get(), true);
    for (Reservation r : reservations) {
      r.jobStarted(job.shape(), workers.get(), candidate.remainingSeconds());
    }
    return true;
  }

  private int countOverlapping(double remainingSeconds) {
    int count = 0;
    for (Reservation r : reservations) {
      count += r.overlaps(remainingSeconds) ? 1 : 0;
    }
    return count;
  }

  /** Returns the capacity that a job may use without delaying a reservation. */
  private WorkerCapacities capacityFor(double remainingSeconds) {
    WorkerCapacities free = state.availableToBorrowers(state.free());
    if (countOverlapping(remainingSeconds) == 0) {
      return free;
    }
    WorkerCapacities capacities = free.copy();
    for (Reservation r : reservations) {
      if (r.overlaps(remainingSeconds)) {
        capacities.limitTo(r.unreserved());
      }
    }
    return capacities;
  }

  private Optional<int[]> place(Candidate candidate, WorkerCapacities capacities, boolean[] avoid) {
    Shape shape = candidate.job().shape();
    var preference =
        new WorkerPreference(state, shape, features.avoidReserved(), features.packing());
    return placer.place(shape, capacities, avoid, preference);
  }

  /**
   * Preempts other attempts for an urgent or overdue job; for any other job only if the expected
   * benefit outweighs the cost.
   */
  private boolean stopOthers(Candidate candidate) {
    boolean mandatory = candidate.job().urgent() || candidate.overdue();
    if (!mandatory && !mayMoveOthers()) {
      return false;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    if (awaitStops(candidate, avoid)) {
      return true;
    }
    List<Victim> eligible =
        mandatory ? victimRules.forUrgentOrOverdue(candidate) : victimRules.forMove(candidate);
    WorkerCapacities all = state.index().capacity();
    WorkerCapacities availableAfterStops =
        state.availableToBorrowers(state.freeAfterStops(candidate.job()));
    Optional<Selection> selection =
        new VictimSelector(state.index())
            .select(candidate.job().shape(), availableAfterStops, all, avoid, eligible);
    if (selection.isEmpty() || (!mandatory && !isWorthwhile(candidate, selection.get(), avoid))) {
      return false;
    }
    StopCause cause = candidate.job().urgent() ? StopCause.URGENT : StopCause.MOVED;
    for (Victim v : selection.get().victims()) {
      state.stop(v.attempt(), stopFactory.create(v.attempt().running(), cause, candidate.job()));
    }
    return awaitStops(candidate, avoid);
  }

  /**
   * Returns whether preemption may be tried for one more job that is neither urgent nor overdue.
   * Only the first such jobs are tried, to limit the time that a decision takes.
   */
  private boolean mayMoveOthers() {
    return features.moves()
        && reservations.size() < MAX_RESERVATIONS
        && moveTrials++ < MAX_MOVE_TRIALS;
  }

  /**
   * Returns whether the stops reduce the job's slowdown by more than they slow down their victims.
   */
  private boolean isWorthwhile(Candidate candidate, Selection selection, boolean[] avoid) {
    Optional<Reservation> withoutStops = planner.reserve(candidate, avoid);
    if (withoutStops.isEmpty()) {
      return true;
    }
    double avoidedSlowdown = withoutStops.get().secondsUntilFree() / candidate.remainingSeconds();
    return avoidedSlowdown > victimRules.slowdown(selection, candidate);
  }

  private boolean awaitStops(Candidate candidate, boolean[] avoid) {
    Optional<int[]> workers =
        place(candidate, state.availableToBorrowers(state.freeAfterStops(candidate.job())), avoid);
    if (workers.isEmpty()) {
      return false;
    }
    state.allocate(candidate.job(), workers.get());
    long expectedStartMillis =
        state.view().nowMillis()
            + state.view().declarations().policy().checkpointNotice().toMillis();
    state.explain(candidate, "waits for attempts that were told to stop", expectedStartMillis);
    return true;
  }

  private void reserve(Candidate candidate) {
    String missing = state.describeShortage(candidate.job().shape());
    if (!features.reservations() || reservations.size() >= MAX_RESERVATIONS) {
      state.explain(candidate, missing, 0);
      return;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    Optional<Reservation> reservation = planner.reserve(candidate, avoid);
    if (reservation.isEmpty()) {
      state.explain(candidate, missing, 0);
      return;
    }
    reservations.add(reservation.get());
    long start = state.view().nowMillis() + Math.round(reservation.get().secondsUntilFree() * 1000);
    state.explain(candidate, missing + "; room is reserved", start);
  }
}
