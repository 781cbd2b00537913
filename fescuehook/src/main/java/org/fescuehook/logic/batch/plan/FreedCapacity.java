package org.fescuehook.logic.batch.plan;

import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;

/**
 * Remembers from plan to plan where runs are being stopped for which step, and how often they were
 * since the step last started.
 */
final class FreedCapacity {

  private final Map<StepProgress, Round> rounds = new IdentityHashMap<>();

  /**
   * Runs that are stopped for a step with one plan.
   *
   * @param beneficiary the step as it was planned then
   * @param number how often runs have been stopped for the step since it last started
   * @param victims the runs that are stopped
   * @param placements where the step is expected to start
   * @param sinceNanos time of the plan, monotonic
   */
  record Round(
      WaitingStep beneficiary,
      int number,
      List<LiveRun> victims,
      List<TaskPlacement> placements,
      long sinceNanos) {

    /** Copies the lists. */
    Round {
      victims = List.copyOf(victims);
      placements = List.copyOf(placements);
    }

    /** Returns the next round; groups of tasks of one step that are planned together share one. */
    private Round followedBy(Round next) {
      if (next.sinceNanos != sinceNanos) {
        return new Round(
            next.beneficiary, number + 1, next.victims, next.placements, next.sinceNanos);
      }
      return new Round(
          beneficiary,
          number,
          concat(victims, next.victims),
          concat(placements, next.placements),
          sinceNanos);
    }

    private static <T> List<T> concat(List<T> first, List<T> second) {
      return Stream.concat(first.stream(), second.stream()).toList();
    }

    /** Tells whether all its runs have ended. */
    boolean ended() {
      return victims.stream().noneMatch(run -> run.step().liveRuns().contains(run));
    }
  }

  /** Records that runs are stopped for a step. */
  void ordered(WaitingStep waiting, Preemptor.Selection selection, long nowNanos) {
    if (selection.victims().isEmpty()) {
      return;
    }
    Round round = new Round(waiting, 1, selection.victims(), selection.placements(), nowNanos);
    rounds.merge(waiting.step(), round, Round::followedBy);
  }

  /** Forgets the steps that start with a plan, or that no longer wait. */
  void update(Planner.Plan plan, Collection<WaitingStep> waiting) {
    if (rounds.isEmpty()) {
      return;
    }
    Set<StepProgress> present = Collections.newSetFromMap(new IdentityHashMap<>());
    waiting.forEach(step -> present.add(step.step()));
    plan.starts().forEach(start -> present.remove(start.step()));
    rounds.keySet().retainAll(present);
  }

  /** Returns the newest round of each step that has not started since. */
  Collection<Round> rounds() {
    return List.copyOf(rounds.values());
  }
}
