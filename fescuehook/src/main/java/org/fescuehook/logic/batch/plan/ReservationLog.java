package org.fescuehook.logic.batch.plan;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.StepProgress;

/** Logs, once for each gang, its first reservation, and that it has missed its expected start. */
final class ReservationLog {

  private static final String METRIC = "fescuehook.batch.reservations";

  /** Gangs whose reservation has been logged, as long as they wait. */
  private final Set<StepProgress> announced = newSet();

  /** The reservations that gangs had first, as {@link ReservationBook} counts them. */
  private final Map<StepProgress, Reservation> first = new IdentityHashMap<>();

  private final Set<StepProgress> missed = newSet();

  private static Set<StepProgress> newSet() {
    return Collections.newSetFromMap(new IdentityHashMap<>());
  }

  /**
   * Logs what a plan shows.
   *
   * @param waiting the steps that waited when the plan was made
   */
  void check(List<WaitingStep> waiting, Planner.Plan plan, BatchContext context) {
    if (announced.isEmpty() && plan.reservations().isEmpty()) {
      return;
    }
    Set<StepProgress> reserved = newSet();
    for (Reservation reservation : plan.reservations()) {
      StepProgress step = reservation.waiting().step();
      reserved.add(step);
      if (missed.remove(step)) {
        first.remove(step);
      }
      first.putIfAbsent(step, reservation);
      if (announced.add(step)) {
        logMade(reservation, context);
      }
    }
    Set<StepProgress> started = newSet();
    plan.starts().forEach(start -> started.add(start.step()));
    for (Reservation reservation : List.copyOf(first.values())) {
      StepProgress step = reservation.waiting().step();
      long overdue = context.nowNanos() - reservation.startNanos();
      if (started.contains(step)) {
        count("started", context);
        first.remove(step);
      } else if (!reserved.contains(step)) {
        logAbsent(step, overdue, context);
      }
    }
    Set<StepProgress> present = newSet();
    waiting.forEach(step -> present.add(step.step()));
    announced.retainAll(present);
    first.keySet().retainAll(present);
    missed.retainAll(present);
  }

  /** Handles a gang that has a reservation no more and does not start. */
  private void logAbsent(StepProgress step, long overdue, BatchContext context) {
    if (overdue <= ReservationBook.GRACE_NANOS) {
      first.remove(step);
    } else if (missed.add(step)) {
      count("missed", context);
      context.note(
          BatchLogEvent.RESERVATION_MISSED,
          step.job().job().id(),
          step.number(),
          TimeUnit.NANOSECONDS.toMillis(overdue));
    }
  }

  private void logMade(Reservation reservation, BatchContext context) {
    StepProgress step = reservation.waiting().step();
    count("made", context);
    context.note(
        BatchLogEvent.RESERVATION_MADE,
        step.job().job().id(),
        step.number(),
        reservation.placements().size(),
        reservation.unreserved().size(),
        reservation.placements().getFirst().executor().profile().rack(),
        TimeUnit.NANOSECONDS.toMillis(reservation.startNanos() - context.nowNanos()));
  }

  private static void count(String outcome, BatchContext context) {
    context.count(METRIC, "outcome", outcome);
  }
}
