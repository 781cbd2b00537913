package org.fescuehook.logic.batch.plan;

import java.util.function.UnaryOperator;

/** Chooses which executors the steps of a plan avoid because of failures. */
final class AvoidanceChoice {

  private final FleetCapacity available;
  private final FleetCapacity total;
  private final PlacementWaits waits;
  private final boolean suspectsPresent;
  private final long nowNanos;

  /**
   * Creates the choice for a plan.
   *
   * @param available capacity that is free now, without what the plan has placed so far
   * @param total the whole capacity of the usable executors of the pool
   */
  AvoidanceChoice(
      FleetCapacity available, FleetCapacity total, PlacementWaits waits, long nowNanos) {
    this.available = available;
    this.total = total;
    this.waits = waits;
    this.suspectsPresent = total.share(CandidateExecutor::suspect) > 0;
    this.nowNanos = nowNanos;
  }

  /**
   * Adds which executors a step avoids, fewer of them if it fits nowhere else, and then how
   * reliable they must be. A step that has waited in an idle service avoids no more than lets it
   * start now: users accept 3 s in which nothing of a job runs, and failures count for longer.
   *
   * @param requiring adds how reliable the executors must be
   */
  WaitingStep restrict(WaitingStep waiting, UnaryOperator<WaitingStep> requiring) {
    Avoidance usual = Avoidance.usual(waiting, nowNanos);
    if (usual.failedOn().isEmpty() && !(usual.suspects() && suspectsPresent)) {
      return requiring.apply(waiting);
    }
    if (waits.serviceIdleFor(waiting, PlacementWaits.IDLE_WAIT_NANOS)) {
      for (Avoidance avoidance : Avoidance.relaxations(waiting, nowNanos)) {
        WaitingStep avoiding = requiring.apply(waiting.avoiding(avoidance));
        if (available.tightestGroup(avoiding, waiting.startsTogether(), false).isPresent()) {
          return avoiding;
        }
      }
    }
    WaitingStep avoiding = waiting.avoiding(usual);
    boolean fitsElsewhere =
        total.tightestGroup(avoiding, waiting.startsTogether(), false).isPresent();
    return requiring.apply(
        fitsElsewhere ? avoiding : waiting.avoiding(Avoidance.least(waiting, nowNanos)));
  }
}
