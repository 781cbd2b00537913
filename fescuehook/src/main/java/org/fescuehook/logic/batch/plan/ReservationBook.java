package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.batch.state.StepProgress;

/**
 * Remembers from plan to plan since when gangs have reservations. A gang that has not started some
 * time after the start that was expected first gets no reservation for a while: what it waits for
 * takes longer than expected, and others can use the capacity meanwhile.
 */
final class ReservationBook {

  /** Users accept capacity that is idle for at most 3 s while work waits. */
  static final long GRACE_NANOS = Duration.ofSeconds(3).toNanos();

  /** Time in which most runs that started in the released capacity have ended. */
  private static final long PAUSE_NANOS = Duration.ofSeconds(5).toNanos();

  private final boolean enabled;
  private final Map<StepProgress, Long> firstStarts = new IdentityHashMap<>();

  /**
   * Creates a book without reservations.
   *
   * @param enabled whether gangs get reservations at all
   */
  ReservationBook(boolean enabled) {
    this.enabled = enabled;
  }

  /** Tells whether a gang may have a reservation. */
  boolean mayReserve(StepProgress step, long nowNanos) {
    Long start = firstStarts.get(step);
    if (!enabled || start == null) {
      return enabled;
    }
    long overdue = nowNanos - start;
    if (overdue > GRACE_NANOS + PAUSE_NANOS) {
      firstStarts.remove(step);
      return true;
    }
    return overdue <= GRACE_NANOS;
  }

  /** Returns whether a gang has had its reservation for too long. */
  boolean missed(StepProgress step, long nowNanos) {
    Long start = firstStarts.get(step);
    return start != null && nowNanos - start > GRACE_NANOS;
  }

  /**
   * Records the reservations of a plan. Others are forgotten, but for gangs that have none for a
   * while.
   */
  void update(List<Reservation> reservations, Collection<WaitingStep> waiting, long nowNanos) {
    Set<StepProgress> kept = Collections.newSetFromMap(new IdentityHashMap<>());
    for (Reservation reservation : reservations) {
      firstStarts.putIfAbsent(reservation.waiting().step(), reservation.startNanos());
      kept.add(reservation.waiting().step());
    }
    for (WaitingStep step : waiting) {
      if (missed(step.step(), nowNanos)) {
        kept.add(step.step());
      }
    }
    firstStarts.keySet().retainAll(kept);
  }
}
