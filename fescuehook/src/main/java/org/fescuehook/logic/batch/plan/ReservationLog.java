package org.fescuehook.logic.batch.plan;

import java.util.Collections;
import java.util.HashSet;
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

  private final Map<StepProgress, Reservation> first = new IdentityHashMap<>();
  private final Set<StepProgress> missed = Collections.newSetFromMap(new IdentityHashMap<>());

  /**
   * Logs what a plan shows.
   *
   * @param waiting the steps that waited when the plan was made
   */
  void check(List<WaitingStep> waiting, Planner.Plan plan, BatchContext context) {
    if (first.isEmpty() && plan.reservations().isEmpty()) {
      return;
    }
    plan.reservations().forEach(reservation -> logMade(reservation, context));
    Set<StepProgress> started = new HashSet<>();
    plan.starts().forEach(start -> started.add(start.step()));
    for (Reservation reservation : List.copyOf(first.values())) {
      StepProgress step = reservation.waiting().step();
      long overdue = context.nowNanos() - reservation.startNanos();
      if (started.contains(step)) {
        count("started", context);
        first.remove(step);
      } else if (overdue > ReservationBook.GRACE_NANOS && missed.add(step)) {
        count("missed", context);
        context.note(
            BatchLogEvent.RESERVATION_MISSED,
            step.job().job().id(),
            step.number(),
            TimeUnit.NANOSECONDS.toMillis(overdue));
      }
    }
    Set<StepProgress> present = Collections.newSetFromMap(new IdentityHashMap<>());
    waiting.forEach(step -> present.add(step.step()));
    first.keySet().retainAll(present);
    missed.retainAll(first.keySet());
  }

  private void logMade(Reservation reservation, BatchContext context) {
    StepProgress step = reservation.waiting().step();
    if (first.putIfAbsent(step, reservation) != null) {
      return;
    }
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
