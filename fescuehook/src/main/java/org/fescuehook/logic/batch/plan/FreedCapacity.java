package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.ResourceVector;

/**
 * Remembers from plan to plan where runs are being stopped for which step. What a step requires of
 * its executors may change while the runs end, so that it does not start at once when they have.
 * Without a memory, work of lower rank starts in the places then and is stopped for the step again.
 *
 * <p>A place is kept until the step starts, work of higher rank takes it or its executor is gone,
 * and for a short time at most. Meanwhile no further runs are stopped for a step that has all the
 * places it needs, even if it does not accept one of them at present: most doubts are settled in
 * that time. A step that has lost its places more than once waits longer from round to round, so
 * that doubts which arise as often as runs are stopped do not keep other work from ending.
 */
final class FreedCapacity {

  /**
   * How long a place is kept after the time that a stop may take. Users accept capacity that is
   * idle for at most 3 s while work waits.
   */
  private static final long MARGIN_NANOS = Duration.ofSeconds(1).toNanos();

  /** How often the pause after a round of stops doubles; it is 24 s then if a stop takes 0.5 s. */
  private static final int MAX_DOUBLINGS = 4;

  private final long keptNanos;
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

  /**
   * Creates a memory without any rounds.
   *
   * @param stopNanos how long the stop of a run takes at most
   */
  FreedCapacity(long stopNanos) {
    this.keptNanos = stopNanos + MARGIN_NANOS;
  }

  /** Records that runs are stopped for a step. */
  void ordered(WaitingStep waiting, Preemptor.Selection selection, long nowNanos) {
    if (selection.victims().isEmpty()) {
      return;
    }
    Round round = new Round(waiting, 1, selection.victims(), selection.placements(), nowNanos);
    rounds.merge(waiting.step(), round, Round::followedBy);
  }

  /** Returns the places that are kept for the waiting tasks of a step. */
  List<TaskPlacement> kept(WaitingStep waiting, long nowNanos) {
    Round round = rounds.get(waiting.step());
    if (round == null || expired(round, nowNanos)) {
      return List.of();
    }
    ResourceVector demand = waiting.step().spec().demand();
    Map<ExecutorState, ResourceVector> left = new IdentityHashMap<>();
    List<TaskPlacement> kept = new ArrayList<>();
    for (TaskPlacement placement : round.placements()) {
      ExecutorState executor = placement.executor();
      ResourceVector free = left.computeIfAbsent(executor, FreedCapacity::freeAfterStops);
      boolean present = executor.inService() && !executor.silent() && free.contains(demand);
      if (present && waiting.tasks().contains(placement.task())) {
        left.put(executor, free.minus(demand));
        kept.add(placement);
      }
    }
    return kept;
  }

  private static ResourceVector freeAfterStops(ExecutorState executor) {
    ResourceVector free = executor.free();
    for (LiveRun run : executor.runs()) {
      if (run.stage() == Stage.STOPPING) {
        free = free.plus(run.demand());
      }
    }
    return free;
  }

  /**
   * Tells whether no runs may be stopped for a step at present: it has all the places it needs, or
   * it has lost such places more than once since it last started. The latter does not apply to the
   * first start of guaranteed work, which has a bound.
   */
  boolean pauses(WaitingStep waiting, long nowNanos) {
    Round round = rounds.get(waiting.step());
    if (round == null) {
      return false;
    }
    boolean firstStart = waiting.rank().guaranteed() && !waiting.step().job().begun();
    if (round.number() == 1 || firstStart) {
      return kept(waiting, nowNanos).size() >= waiting.startsTogether();
    }
    int doublings = Math.min(round.number() - 1, MAX_DOUBLINGS);
    return nowNanos - round.sinceNanos() <= keptNanos << doublings;
  }

  /**
   * Returns a step as it is planned while places are kept for it. If runs were stopped on executors
   * without proof, since the step could not start on proven ones, an executor that is proven in the
   * meantime does not make the places useless.
   */
  WaitingStep sinceStops(WaitingStep waiting, long nowNanos) {
    Round round = rounds.get(waiting.step());
    if (round == null || expired(round, nowNanos)) {
      return waiting;
    }
    boolean proofAdded =
        waiting.requirement().proven() && !round.beneficiary().requirement().proven();
    return proofAdded ? waiting.requiring(waiting.requirement().withoutProof()) : waiting;
  }

  private boolean expired(Round round, long nowNanos) {
    return nowNanos - round.sinceNanos() > keptNanos;
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
