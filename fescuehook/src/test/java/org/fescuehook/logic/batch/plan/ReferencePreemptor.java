package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.preferences.WorkPreferences;

/** Chooses the runs to preempt so that a step fits. */
final class ReferencePreemptor {

  /**
   * Largest share of a step's work that preemption may discard to let the step start. Above it,
   * preemption would delay other jobs more than it speeds up the step. Steps covered by a guarantee
   * have no such limit.
   */
  private static final double MAX_DISCARDED_SHARE = 0.3;

  /** Cost of a start besides restoring saved work: the order and storing the placement. */
  private static final double START_COST_SECONDS = 0.05;

  private static final double NANOS_PER_SECOND = 1e9;

  private final Function<StepProgress, Rank> ranks;
  private final WorkPreferences preferences;
  private final long nowNanos;

  /** Numbers of tasks of long-running steps that this plan preempts already. */
  private final Map<StepProgress, Integer> plannedStops = new HashMap<>();

  ReferencePreemptor(
      Function<StepProgress, Rank> ranks, WorkPreferences preferences, long nowNanos) {
    this.ranks = ranks;
    this.preferences = preferences;
    this.nowNanos = nowNanos;
  }

  /**
   * Runs that are preempted together: one task, or all members of a gang.
   *
   * @param discarded work that has to be repeated, in seconds of one core
   */
  private record Victim(List<LiveRun> runs, Rank rank, double discarded) {}

  /**
   * Chooses the runs to preempt for a step.
   *
   * @param expected capacity once all runs that are being stopped have ended
   * @return the runs to stop and the placements that become possible; absent if preemption within
   *     the limit does not free enough capacity
   */
  Optional<Selection> choose(WaitingStep waiting, ReferenceCapacity expected, boolean nearOnly) {
    double limit =
        waiting.rank().guaranteed()
            ? Double.MAX_VALUE
            : waiting.estimatedCoreSeconds() * MAX_DISCARDED_SHARE;
    Optional<Selection> best = Optional.empty();
    for (List<ReferenceCandidate> group : expected.groups(waiting, nearOnly)) {
      Optional<Selection> choice = choose(waiting, group, limit);
      if (choice.isPresent()
          && best.filter(found -> found.discarded() <= choice.get().discarded()).isEmpty()) {
        best = choice;
      }
    }
    return best;
  }

  /** Records that a selection becomes part of the plan. */
  void markApplied(Selection choice) {
    choice.victims().forEach(run -> plannedStops.merge(run.step(), 1, Integer::sum));
  }

  /**
   * The result of a selection.
   *
   * @param victims the runs to preempt
   * @param discarded work that has to be repeated, in seconds of one core
   * @param placements where the step can start then
   */
  record Selection(List<LiveRun> victims, double discarded, List<TaskPlacement> placements) {}

  private Optional<Selection> choose(
      WaitingStep waiting, List<ReferenceCandidate> group, double limit) {
    List<ReferenceCandidate> candidates = group.stream().map(ReferenceCandidate::copy).toList();
    Map<ExecutorId, ReferenceCandidate> byExecutor = new LinkedHashMap<>();
    candidates.forEach(candidate -> byExecutor.put(candidate.executor().profile().id(), candidate));
    int wanted = waiting.tasks().size();
    List<Victim> chosen = new ArrayList<>();
    double discarded = 0;
    for (Victim victim : victims(waiting, candidates)) {
      if (ReferenceCapacity.fits(waiting, candidates) >= wanted) {
        break;
      }
      if (discarded + victim.discarded() > limit) {
        continue;
      }
      chosen.add(victim);
      discarded += victim.discarded();
      release(victim, byExecutor, 1);
    }
    if (ReferenceCapacity.fits(waiting, candidates) < wanted) {
      return Optional.empty();
    }
    discarded -= dropUnneeded(waiting, candidates, byExecutor, chosen);
    List<LiveRun> runs = chosen.stream().flatMap(victim -> victim.runs().stream()).toList();
    return Optional.of(
        new Selection(
            runs, discarded, ReferenceCapacity.placeTasks(waiting, waiting.tasks(), candidates)));
  }

  /**
   * Removes victims that are not needed after all.
   *
   * @return the work that this saves, in seconds of one core
   */
  private static double dropUnneeded(
      WaitingStep waiting,
      List<ReferenceCandidate> candidates,
      Map<ExecutorId, ReferenceCandidate> byExecutor,
      List<Victim> chosen) {
    double saved = 0;
    for (Victim victim : List.copyOf(chosen).reversed()) {
      release(victim, byExecutor, -1);
      if (ReferenceCapacity.fits(waiting, candidates) >= waiting.tasks().size()) {
        chosen.remove(victim);
        saved += victim.discarded();
      } else {
        release(victim, byExecutor, 1);
      }
    }
    return saved;
  }

  private static void release(
      Victim victim, Map<ExecutorId, ReferenceCandidate> byExecutor, int sign) {
    for (LiveRun run : victim.runs()) {
      Optional.ofNullable(byExecutor.get(run.executor()))
          .ifPresent(candidate -> candidate.release(run.demand().times(sign)));
    }
  }

  /**
   * Returns the possible victims, those whose preemption discards the least work first and, among
   * equals, the least important first.
   */
  private List<Victim> victims(WaitingStep waiting, List<ReferenceCandidate> group) {
    List<Victim> victims = new ArrayList<>();
    Set<StepProgress> gangs = new LinkedHashSet<>();
    Map<StepProgress, Integer> stopped = new HashMap<>(plannedStops);
    for (ReferenceCandidate candidate : group) {
      ExecutorState executor = candidate.executor();
      for (LiveRun run : executor.runs()) {
        Rank rank = ranks.apply(run.step());
        boolean preemptible = run.stage() != Stage.STOPPING && !run.step().done();
        if (!preemptible || !waiting.rank().before(rank)) {
          continue;
        }
        boolean lasting = run.step().spec().longRunning().isPresent();
        if (lasting
            && stopped.merge(run.step(), 1, Integer::sum) > run.step().disruptionsAllowed()) {
          continue;
        }
        if (run.step().spec().gang()) {
          gangs.add(run.step());
        } else {
          victims.add(victim(List.of(run), rank));
        }
      }
    }
    gangs.forEach(gang -> victims.add(victim(gang.liveRuns(), ranks.apply(gang))));
    victims.sort(
        Comparator.comparing(Victim::discarded)
            .thenComparing(Victim::rank, Comparator.reverseOrder()));
    return victims;
  }

  private Victim victim(List<LiveRun> runs, Rank rank) {
    double discarded = 0;
    for (LiveRun run : runs) {
      double restore = run.step().spec().checkpointing() ? preferences.restoreSeconds() : 0;
      double seconds = START_COST_SECONDS + restore + discardedSeconds(run);
      discarded += seconds * run.demand().coreEquivalents();
    }
    return new Victim(runs, rank, discarded);
  }

  /** Returns the work of a run that is not saved, in seconds. */
  private double discardedSeconds(LiveRun run) {
    if (run.stage() != Stage.RUNNING) {
      return 0;
    }
    double seconds = (nowNanos - run.stageSince()) / NANOS_PER_SECOND;
    return run.step().spec().checkpointing()
        ? Math.min(seconds, preferences.unsavedSeconds())
        : seconds;
  }
}
