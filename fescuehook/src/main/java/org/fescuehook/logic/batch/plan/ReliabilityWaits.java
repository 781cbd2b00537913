package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.statistics.StartReliability;

/**
 * Decides how reliable the executors of a step must be, and for how long it waits for such ones.
 */
final class ReliabilityWaits {

  /**
   * How long a step with one attempt left waits for runs to end well somewhere if there is no
   * proven executor at all. Users accept 3 s in which nothing of a job runs, and the placement has
   * to be stored and started within them.
   */
  private static final long PROOF_WAIT_NANOS = Duration.ofMillis(2500).toNanos();

  private final FleetCapacity available;
  private final FleetCapacity total;
  private final PlacementWaits waits;
  private final StartReliability reliability;
  private final long nowNanos;

  /**
   * Creates the rule for a plan.
   *
   * @param available capacity that is free now, without what the plan has placed so far
   * @param total the whole capacity of the usable executors of the pool
   */
  ReliabilityWaits(
      FleetCapacity available,
      FleetCapacity total,
      PlacementWaits waits,
      StartReliability reliability,
      long nowNanos) {
    this.available = available;
    this.total = total;
    this.waits = waits;
    this.reliability = reliability;
    this.nowNanos = nowNanos;
  }

  /** Adds how reliable the executors of a step must be. */
  WaitingStep withRequirement(WaitingStep waiting) {
    if (!reliability.enabled() || waits.firstStartIsDue(waiting)) {
      return waiting;
    }
    StartRequirement requirement = StartRequirement.of(waiting, reliability, nowNanos);
    WaitingStep required = waiting.requiring(requirement);
    boolean relaxable =
        requirement.proven() ? reliability.knowsWaves(nowNanos) : reliability.calm(nowNanos);
    if (relaxable && waits.serviceIdleFor(waiting, PlacementWaits.IDLE_WAIT_NANOS)) {
      return fittingNow(waiting, requirement);
    }
    boolean mayBecomeProven = waiting.timing().queuedNanos() <= PROOF_WAIT_NANOS;
    if (!requirement.proven() || mayBecomeProven) {
      return required;
    }
    boolean possible = total.tightestGroup(required, waiting.startsTogether(), false).isPresent();
    return possible ? required : waiting.requiring(requirement.withoutProof());
  }

  /**
   * Lowers how reliable the executors of a step must be until it fits, or nothing is left. A step
   * that has to start near its data must fit there, or else it waits although it fits elsewhere.
   */
  private WaitingStep fittingNow(WaitingStep waiting, StartRequirement usual) {
    boolean nearOnly = waits.nearOnly(waiting.requiring(usual));
    return (nearOnly ? fittingNow(waiting, usual, true) : Optional.<WaitingStep>empty())
        .or(() -> fittingNow(waiting, usual, false))
        .orElseGet(() -> waiting.requiring(usual));
  }

  private Optional<WaitingStep> fittingNow(
      WaitingStep waiting, StartRequirement usual, boolean nearOnly) {
    OptionalLong presentFaultsSince = reliability.presentFaultsSince(nowNanos);
    for (StartRequirement requirement : usual.relaxations(presentFaultsSince)) {
      WaitingStep required = waiting.requiring(requirement);
      if (available.tightestGroup(required, waiting.startsTogether(), nearOnly).isPresent()) {
        return Optional.of(required);
      }
    }
    return Optional.empty();
  }
}
