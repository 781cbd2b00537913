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

/** Starts jobs on capacity beyond their organisations' guarantees. */
final class BorrowStep {

  private static final int MOST_RESERVATIONS = 3;
  private static final int MOST_MOVE_TRIALS = 8;

  private final PlanState state;
  private final GangPlacer placer;
  private final PolicyFeatures parts;
  private final StopTerms terms;
  private final VictimRules victims;
  private final GuaranteeStep guarantees;
  private final QuotaStep quotas;
  private final ReservationPlanner planner;
  private final List<Reservation> reservations = new ArrayList<>();
  private final Set<Blocked> blocked = new HashSet<>();
  private int moveTrials;

  BorrowStep(
      PlanState state,
      GangPlacer placer,
      PolicyFeatures parts,
      JobOrder order,
      GuaranteeStep guarantees,
      QuotaStep quotas) {
    this.quotas = quotas;
    this.guarantees = guarantees;
    this.state = state;
    this.placer = placer;
    this.parts = parts;
    this.terms = new StopTerms(state.view().declarations().policy());
    this.victims = new VictimRules(state, order);
    this.planner = new ReservationPlanner(state, placer, parts.packing());
  }

  /** A shape that did not fit in what is left; room only shrinks, so it will not fit later. */
  private record Blocked(Shape shape, int bindingReservations) {}

  /** Starts a job, keeps room for it, or says what it lacks. */
  void accept(Candidate candidate) {
    if (!candidate.mayBorrow()) {
      state.explain(candidate, "guarantees of its organisation are in use; may not borrow", 0);
      return;
    }
    if (!quotas.allows(candidate)) {
      return;
    }
    if (startNow(candidate) || guarantees.reclaim(candidate) || stopOthers(candidate)) {
      return;
    }
    reserve(candidate);
  }

  private boolean startNow(Candidate candidate) {
    Job job = candidate.job();
    Blocked key = new Blocked(job.shape(), binding(candidate.leftSeconds()));
    if (blocked.contains(key)) {
      return false;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    Optional<int[]> workers = place(candidate, room(candidate.leftSeconds()), avoid);
    if (workers.isEmpty()) {
      if (candidate.waiting().avoid().isEmpty()) {
        blocked.add(key);
      }
      return false;
    }
    state.start(candidate, workers.get(), true);
    for (Reservation r : reservations) {
      r.started(job.shape(), workers.get(), candidate.leftSeconds());
    }
    return true;
  }

  private int binding(double leftSeconds) {
    int count = 0;
    for (Reservation r : reservations) {
      count += r.binds(leftSeconds) ? 1 : 0;
    }
    return count;
  }

  /** Returns what a job of so many seconds may use without delaying a reservation. */
  private Room room(double leftSeconds) {
    Room free = state.borrowable(state.free());
    if (binding(leftSeconds) == 0) {
      return free;
    }
    Room room = free.copy();
    for (Reservation r : reservations) {
      if (r.binds(leftSeconds)) {
        room.lowerTo(r.late());
      }
    }
    return room;
  }

  private Optional<int[]> place(Candidate candidate, Room room, boolean[] avoid) {
    Shape shape = candidate.job().shape();
    var preference = new WorkerPreference(state, shape, parts.homes(), parts.packing());
    return placer.place(shape, room, avoid, preference);
  }

  /** Has other attempts give way: to urgent and overdue jobs, else where it pays. */
  private boolean stopOthers(Candidate candidate) {
    boolean must = candidate.job().urgent() || candidate.overdue();
    if (!must && !mayMoveOthers()) {
      return false;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    if (awaitStops(candidate, avoid)) {
      return true;
    }
    List<Victim> eligible =
        must ? victims.forUrgentOrOverdue(candidate) : victims.forMove(candidate);
    Room all = state.index().capacity();
    Room soon = state.borrowable(state.soon(candidate.job()));
    Optional<Selection> selection =
        new VictimSelector(state.index())
            .select(candidate.job().shape(), soon, all, avoid, eligible);
    if (selection.isEmpty() || (!must && !pays(candidate, selection.get(), avoid))) {
      return false;
    }
    StopCause cause = candidate.job().urgent() ? StopCause.URGENT : StopCause.MOVED;
    for (Victim v : selection.get().victims()) {
      state.stop(v.occupant(), terms.stop(v.occupant().running(), cause, candidate.job()));
    }
    return awaitStops(candidate, avoid);
  }

  /** Tells whether moves are still tried; only for the first jobs, to bound a decision's time. */
  private boolean mayMoveOthers() {
    return parts.moves()
        && reservations.size() < MOST_RESERVATIONS
        && moveTrials++ < MOST_MOVE_TRIALS;
  }

  /** Compares the slowdown that the job is spared with the slowdown that the stops cause. */
  private boolean pays(Candidate candidate, Selection selection, boolean[] avoid) {
    Optional<Reservation> otherwise = planner.reserve(candidate, avoid);
    if (otherwise.isEmpty()) {
      return true;
    }
    double spared = otherwise.get().inSeconds() / candidate.leftSeconds();
    return spared > victims.slowdown(selection, candidate);
  }

  private boolean awaitStops(Candidate candidate, boolean[] avoid) {
    Optional<int[]> workers =
        place(candidate, state.borrowable(state.soon(candidate.job())), avoid);
    if (workers.isEmpty()) {
      return false;
    }
    state.hold(candidate.job(), workers.get());
    long due =
        state.view().nowMillis()
            + state.view().declarations().policy().checkpointNotice().toMillis();
    state.explain(candidate, "waits for attempts that were told to stop", due);
    return true;
  }

  private void reserve(Candidate candidate) {
    String missing = state.missing(candidate.job().shape());
    if (!parts.reservations() || reservations.size() >= MOST_RESERVATIONS) {
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
    long start = state.view().nowMillis() + Math.round(reservation.get().inSeconds() * 1000);
    state.explain(candidate, missing + "; room is reserved", start);
  }
}
