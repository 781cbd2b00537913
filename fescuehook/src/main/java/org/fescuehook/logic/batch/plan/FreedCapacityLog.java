package org.fescuehook.logic.batch.plan;

import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.statistics.ExecutorStanding;
import org.fescuehook.logic.batch.statistics.StartReliability;

/**
 * Logs, once for each round of stops, that a step has not started although the runs have ended that
 * were stopped for it, and what keeps it from the executors that they were on.
 */
final class FreedCapacityLog {

  private static final String METRIC = "fescuehook.batch.preemption.unused";

  private static final int PERCENT = 100;

  private final StartReliability reliability;
  private final Set<FreedCapacity.Round> logged =
      Collections.newSetFromMap(new IdentityHashMap<>());

  FreedCapacityLog(StartReliability reliability) {
    this.reliability = reliability;
  }

  /**
   * Checks the steps that have not started with the last plan.
   *
   * @param waiting the steps that waited when the plan was made
   */
  void check(List<WaitingStep> waiting, FreedCapacity freedCapacity, BatchContext context) {
    Collection<FreedCapacity.Round> rounds = freedCapacity.rounds();
    for (FreedCapacity.Round round : rounds) {
      if (!logged.contains(round) && round.ended()) {
        logged.add(round);
        waiting.stream()
            .filter(step -> step.step() == round.beneficiary().step())
            .findFirst()
            .ifPresent(step -> log(round, step, context));
      }
    }
    logged.retainAll(rounds);
  }

  private void log(FreedCapacity.Round round, WaitingStep waiting, BatchContext context) {
    long nowNanos = context.nowNanos();
    StartRequirement requirement = StartRequirement.of(waiting, reliability, nowNanos);
    Avoidance avoidance = Avoidance.usual(waiting, nowNanos);
    Set<ExecutorState> executors = new LinkedHashSet<>();
    round.placements().forEach(placement -> executors.add(placement.executor()));
    int unusable = 0;
    int doubted = 0;
    int unproven = 0;
    int avoided = 0;
    int taken = 0;
    Set<String> takers = new TreeSet<>();
    for (ExecutorState executor : executors) {
      ExecutorStanding standing = reliability.standing(executor, nowNanos);
      unusable += executor.usable(nowNanos) ? 0 : 1;
      doubted += requirement.withoutProof().accepts(standing) ? 0 : 1;
      boolean proven = !requirement.proven() || standing.provenSince(requirement.provenSince());
      unproven += proven ? 0 : 1;
      boolean avoids = avoidance.avoids(executor.incarnation(), executor.suspect(nowNanos));
      avoided += avoids ? 1 : 0;
      int before = takers.size();
      for (LiveRun run : executor.runs()) {
        if (run.placedAt() - round.sinceNanos() > 0) {
          takers.add(run.run().task().job());
        }
      }
      taken += takers.size() > before ? 1 : 0;
    }
    context.note(
        BatchLogEvent.FREED_CAPACITY_UNUSED,
        waiting.step().job().job().id(),
        waiting.step().number(),
        round.victims().size(),
        TimeUnit.NANOSECONDS.toMillis(nowNanos - round.sinceNanos()),
        round.number(),
        Math.round(requirement.maxFaultProbability() * PERCENT),
        requirement.proven() ? "with proof" : "without proof",
        executors.size(),
        unusable,
        doubted,
        unproven,
        avoided,
        taken,
        takers.isEmpty() ? "none" : String.join(" ", takers));
    context.count(METRIC, "round", round.number() > 1 ? "repeated" : "first");
  }
}
