package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.statistics.ExecutorStanding;
import org.fescuehook.logic.batch.statistics.StartReliability;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.fleet.RackId;

/**
 * What keeps a step from executors with free capacity for at least one task of it.
 *
 * @param executors number of these executors
 * @param counts how many of them each bar applies to; several bars may apply to one
 * @param open number of those that are usable and to which no bar applies
 * @param fitting number of tasks that fit onto those that answer, are in service and have its
 *     label, whether or not the owner uses them at present
 * @param newestEvidence when the newest evidence against one of the doubted was observed, monotonic
 */
record CapacityBars(
    int executors, Map<Bar, Integer> counts, int open, long fitting, OptionalLong newestEvidence) {

  /** What may keep a step from an executor. */
  enum Bar {
    /** The executor is in backoff. */
    RESTING,
    /** The executor has runs that the owner does not know. */
    UNKNOWN_RUNS,
    /** The executor does not answer, or an answer contradicts what is known. */
    UNANSWERING,
    /** The executor is leaving, evacuated or in maintenance. */
    CLOSED,
    /** The executor is not reliable enough for the step. */
    DOUBTED,
    /** No run has ended well there as a last attempt requires it. */
    UNPROVEN,
    /** Runs of the step have failed there. */
    FAILED,
    /** External advice does not permit the executor. */
    UNADVISED,
    /** The executor lacks the label of the step, or is in a rack that does not suit it. */
    UNSUITED
  }

  /** Copies the map. */
  CapacityBars {
    counts = Map.copyOf(counts);
  }

  /** Returns the number of executors to which a bar applies. */
  int count(Bar bar) {
    return counts.getOrDefault(bar, 0);
  }

  /**
   * Counts the bars of a step.
   *
   * @param pool the listed executors of its pool
   */
  static CapacityBars count(
      WaitingStep step,
      Collection<ExecutorState> pool,
      StartReliability reliability,
      long nowNanos) {
    StartRequirement requirement = StartRequirement.of(step, reliability, nowNanos);
    WaitingStep required = step.requiring(requirement).avoiding(Avoidance.usual(step, nowNanos));
    List<ExecutorState> withCapacity = new ArrayList<>();
    Map<RackId, Long> fittingInRack = new HashMap<>();
    long fitting = 0;
    for (ExecutorState executor : pool) {
      long fits = fits(step, executor);
      if (fits <= 0) {
        continue;
      }
      withCapacity.add(executor);
      if (step.suits(executor.profile())) {
        fittingInRack.merge(executor.profile().rack(), fits, Long::sum);
        fitting += executor.inService() && executor.presumedAlive() ? fits : 0;
      }
    }
    Map<Bar, Integer> counts = new EnumMap<>(Bar.class);
    int open = 0;
    OptionalLong newestEvidence = OptionalLong.empty();
    for (ExecutorState executor : withCapacity) {
      ExecutorStanding standing = reliability.standing(executor, nowNanos);
      boolean suited = suits(step, executor, fittingInRack);
      Set<Bar> bars = bars(required, executor, standing, suited, nowNanos);
      bars.forEach(bar -> counts.merge(bar, 1, Integer::sum));
      if (standing.doubted()) {
        newestEvidence = later(newestEvidence, standing.doubtedSince());
      }
      open += bars.isEmpty() && executor.usable(nowNanos) ? 1 : 0;
    }
    return new CapacityBars(withCapacity.size(), counts, open, fitting, newestEvidence);
  }

  private static OptionalLong later(OptionalLong earlier, long nanos) {
    boolean newer = earlier.isEmpty() || nanos - earlier.getAsLong() > 0;
    return newer ? OptionalLong.of(nanos) : earlier;
  }

  private static long fits(WaitingStep step, ExecutorState executor) {
    BatchStep spec = step.step().spec();
    int fits = executor.free().fits(spec.demand());
    int most = spec.placement().maxPerExecutor();
    return most == 0 ? fits : Math.clamp(most - executor.countTasks(step.step()), 0, fits);
  }

  private static boolean suits(
      WaitingStep step, ExecutorState executor, Map<RackId, Long> fittingInRack) {
    BatchStep.PlacementRule placement = step.step().spec().placement();
    RackId rack = executor.profile().rack();
    boolean near = placement.affinity().map(rack::equals).orElse(true);
    boolean together =
        !placement.sameRack() || fittingInRack.getOrDefault(rack, 0L) >= step.startsTogether();
    return step.suits(executor.profile()) && near && together;
  }

  private static Set<Bar> bars(
      WaitingStep step,
      ExecutorState executor,
      ExecutorStanding standing,
      boolean suited,
      long nowNanos) {
    StartRequirement requirement = step.requirement();
    Avoidance avoidance = step.avoidance();
    boolean avoidedAsSuspect =
        avoidance.suspects()
            && (executor.suspect(nowNanos) || executor.unansweredOrders().connectsPoorly(nowNanos));
    boolean unreliable = !requirement.withoutProof().accepts(standing);
    boolean unproven = requirement.proven() && !standing.provenSince(requirement.provenSince());
    Map<Bar, Boolean> applies = new EnumMap<>(Bar.class);
    applies.put(Bar.RESTING, executor.resting(nowNanos));
    applies.put(Bar.UNKNOWN_RUNS, executor.hasUnknownRuns());
    applies.put(Bar.UNANSWERING, !executor.presumedAlive());
    applies.put(Bar.CLOSED, !executor.inService());
    applies.put(Bar.DOUBTED, avoidedAsSuspect || unreliable);
    applies.put(Bar.UNPROVEN, unproven);
    applies.put(Bar.FAILED, avoidance.failedOn().contains(executor.incarnation()));
    applies.put(Bar.UNADVISED, !step.permits(executor.incarnation()));
    applies.put(Bar.UNSUITED, !suited);
    applies.values().removeIf(applying -> !applying);
    return applies.keySet();
  }
}
