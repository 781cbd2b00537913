package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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
import org.fescuehook.logic.batch.statistics.OrganisationUsage;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.preferences.WorkPreferences;

/** Chooses the runs to preempt so that a step fits. */
final class Preemptor {

  /**
   * Largest share of a step's work that preemption may discard to let the step start. Above it,
   * preemption would delay other jobs more than it speeds up the step. Steps covered by a guarantee
   * have no such limit.
   */
  private static final double MAX_DISCARDED_SHARE = 0.3;

  /** Cost of a start besides restoring saved work: the order and storing the placement. */
  private static final double START_COST_SECONDS = 0.05;

  /**
   * Work that would be done within this time counts twice, since its capacity becomes free soon
   * anyway.
   */
  private static final double SOON_SECONDS = 1;

  /**
   * Cost of work without use. Not 0, since such a run is started again when capacity is free, so
   * that stopping one which has worked for long discards as much again.
   */
  private static final double USELESS_COST = 0.25;

  /** Use above this many times the share of an organisation counts as this. */
  private static final double MAX_OVERUSE = 2;

  /**
   * Difference of the logarithms of costs within which use decides between victims. A larger one
   * would let use choose runs whose preemption discards more than the limit allows.
   */
  private static final double EQUAL_COST_WIDTH = 0.05;

  private static final Comparator<Victim> BY_COST =
      Comparator.comparing(Victim::cost).thenComparing(Victim::rank, Comparator.reverseOrder());

  private static final double NANOS_PER_SECOND = 1e9;

  private final Function<StepProgress, Rank> ranks;
  private final WorkPreferences preferences;
  private final RunForecast forecast;
  private final OrganisationUsage usage;
  private final long nowNanos;

  /** Numbers of tasks of long-running steps that this plan preempts already. */
  private final Map<StepProgress, Integer> plannedStops = new HashMap<>();

  Preemptor(
      Function<StepProgress, Rank> ranks,
      WorkPreferences preferences,
      RunForecast forecast,
      OrganisationUsage usage,
      long nowNanos) {
    this.ranks = ranks;
    this.preferences = preferences;
    this.forecast = forecast;
    this.usage = usage;
    this.nowNanos = nowNanos;
  }

  /**
   * Runs that are preempted together: one task, or all members of a gang.
   *
   * @param cost work that has to be repeated, in seconds of one core; less for work without use and
   *     more for work that is almost done
   * @param overuse how much of its share the organisation uses, within bounds
   */
  private record Victim(List<LiveRun> runs, Rank rank, double cost, double overuse) {
    /** Returns the cost in steps of a few percent; within a step, the costs count as equal. */
    long costLevel() {
      return Math.round(Math.log(Math.max(cost, Double.MIN_NORMAL)) / EQUAL_COST_WIDTH);
    }
  }

  /**
   * Chooses the runs to preempt for a step.
   *
   * @param expected capacity once all runs that are being stopped have ended
   * @return the runs to stop and the placements that become possible; absent if preemption within
   *     the limit does not free enough capacity
   */
  Optional<Selection> choose(WaitingStep waiting, FleetCapacity expected, boolean nearOnly) {
    double limit =
        waiting.rank().guaranteed()
            ? Double.MAX_VALUE
            : waiting.estimatedCoreSeconds() * MAX_DISCARDED_SHARE;
    Optional<Selection> best = Optional.empty();
    for (List<CandidateExecutor> group : expected.groups(waiting, nearOnly)) {
      Optional<Selection> choice = choose(waiting, group, limit);
      if (choice.isPresent()
          && best.filter(found -> found.cost() <= choice.get().cost()).isEmpty()) {
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
   * @param cost work that has to be repeated, weighted as that of its victims
   * @param placements where the step can start then
   */
  record Selection(List<LiveRun> victims, double cost, List<TaskPlacement> placements) {}

  private Optional<Selection> choose(
      WaitingStep waiting, List<CandidateExecutor> group, double limit) {
    Trial trial = new Trial(waiting, group);
    List<Victim> chosen = new ArrayList<>();
    double cost = 0;
    for (Victim victim : victims(waiting, trial.candidates)) {
      if (trial.allFit()) {
        break;
      }
      if (cost + victim.cost() > limit) {
        continue;
      }
      chosen.add(victim);
      cost += victim.cost();
      trial.release(victim, 1);
    }
    if (!trial.allFit()) {
      return Optional.empty();
    }
    cost -= dropUnneeded(trial, chosen);
    List<LiveRun> runs = chosen.stream().flatMap(victim -> victim.runs().stream()).toList();
    return Optional.of(
        new Selection(
            runs, cost, FleetCapacity.placeTasks(waiting, waiting.tasks(), trial.candidates)));
  }

  /**
   * Removes victims that are not needed after all.
   *
   * @return the work that this saves, in seconds of one core
   */
  private static double dropUnneeded(Trial trial, List<Victim> chosen) {
    double saved = 0;
    for (Victim victim : List.copyOf(chosen).reversed()) {
      trial.release(victim, -1);
      if (trial.allFit()) {
        chosen.remove(victim);
        saved += victim.cost();
      } else {
        trial.release(victim, 1);
      }
    }
    return saved;
  }

  /** The capacity of a group as if some victims were gone; keeps count of the tasks that fit. */
  private static final class Trial {
    private final WaitingStep waiting;
    private final List<CandidateExecutor> candidates;
    private final Map<ExecutorId, CandidateExecutor> byExecutor = new HashMap<>();
    private long fitting;

    Trial(WaitingStep waiting, List<CandidateExecutor> group) {
      this.waiting = waiting;
      this.candidates = group.stream().map(CandidateExecutor::copy).toList();
      candidates.forEach(
          candidate -> byExecutor.put(candidate.executor().profile().id(), candidate));
      this.fitting = FleetCapacity.fits(waiting, candidates);
    }

    boolean allFit() {
      return fitting >= waiting.tasks().size();
    }

    void release(Victim victim, int sign) {
      for (LiveRun run : victim.runs()) {
        CandidateExecutor candidate = byExecutor.get(run.executor());
        if (candidate != null) {
          fitting -= FleetCapacity.fits(waiting, candidate);
          candidate.release(run.demand().times(sign));
          fitting += FleetCapacity.fits(waiting, candidate);
        }
      }
    }
  }

  /**
   * Returns the possible victims, those whose preemption discards the least work first and, among
   * equals, the least important first. Among those of about equal cost, the runs of organisations
   * that use more than their share come first.
   */
  private List<Victim> victims(WaitingStep waiting, List<CandidateExecutor> group) {
    List<Victim> victims = new ArrayList<>();
    Set<StepProgress> gangs = new LinkedHashSet<>();
    Map<StepProgress, Integer> stopped = new HashMap<>(plannedStops);
    for (CandidateExecutor candidate : group) {
      ExecutorState executor = candidate.executor();
      for (LiveRun run : executor.runs()) {
        Rank rank = ranks.apply(run.step());
        boolean preemptible =
            run.stage() != Stage.STOPPING
                && !run.step().done()
                && waiting.rank().before(rank)
                && !forecast.endsByItself(run);
        if (!preemptible) {
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
          victims.add(victim(run.step(), List.of(run), rank));
        }
      }
    }
    gangs.forEach(gang -> victims.add(victim(gang, gang.liveRuns(), ranks.apply(gang))));
    victims.sort(
        usage.enabled()
            ? Comparator.comparingLong(Victim::costLevel)
                .thenComparing(Victim::overuse, Comparator.reverseOrder())
                .thenComparing(BY_COST)
            : BY_COST);
    return victims;
  }

  private Victim victim(StepProgress step, List<LiveRun> runs, Rank rank) {
    double discarded = 0;
    for (LiveRun run : runs) {
      double restore = run.step().spec().checkpointing() ? preferences.restoreSeconds() : 0;
      double seconds = START_COST_SECONDS + restore + discardedSeconds(run);
      discarded += seconds * run.demand().coreEquivalents();
    }
    return new Victim(runs, rank, discarded * costFactor(runs), overuse(step));
  }

  /** Returns how much the work of runs counts that are preempted together. */
  private double costFactor(List<LiveRun> runs) {
    if (!forecast.enabled()) {
      return 1;
    }
    if (runs.stream().allMatch(forecast::useless)) {
      return USELESS_COST;
    }
    double left = 0;
    for (LiveRun run : runs) {
      left = Math.max(left, forecast.leftNanos(run) / NANOS_PER_SECOND);
    }
    return 1 + Math.min(1, SOON_SECONDS / Math.max(SOON_SECONDS, left));
  }

  private double overuse(StepProgress step) {
    return Math.clamp(usage.level(step.job().job().organisation()).use(), 1, MAX_OVERUSE);
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
