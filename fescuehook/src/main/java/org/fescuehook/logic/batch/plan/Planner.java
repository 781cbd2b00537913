package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.logic.batch.statistics.PlannedUsage;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.model.preferences.WorkPreferences;

/**
 * Decides which tasks start where and which runs are preempted. The planner keeps no state: equal
 * input gives equal plans.
 */
public final class Planner {

  /**
   * Part of the time bound for the first start of guaranteed work that remains, besides the stop of
   * other runs, once the work no longer waits for a placement near its data. It covers a postponed
   * plan, storing the placement and one unanswered start order.
   */
  private static final Duration RECLAIM_RESERVE = Duration.ofMillis(1300);

  /**
   * How long other work waits for a placement near its data, in multiples of its estimated
   * duration. Elsewhere it takes three times as long and occupies its capacity for as long.
   */
  private static final int NEARNESS_WAIT_DURATIONS = 8;

  /**
   * Share of the accelerators that work which is not urgent leaves free, so that urgent work starts
   * without waiting for others to stop.
   */
  private static final double URGENT_RESERVE_SHARE = 0.35;

  /**
   * The same share for work whose spare time is almost used up. It is not zero, since urgent work
   * soon preempts what starts in the reserved capacity.
   */
  private static final double NEARLY_LATE_RESERVE_SHARE = 0.25;

  /**
   * Work that has waited this long while more than half of the fleet is free may use the capacity
   * reserved for urgent work. Users accept capacity that is idle for at most 3 s while work waits.
   */
  private static final long IDLE_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

  /**
   * Work that has waited this long in an idle fleet may also start away from its data. The time
   * exceeds the duration of most jobs, since a start elsewhere after a shorter wait would still end
   * later than one near the data.
   */
  private static final long IDLE_NEARNESS_WAIT_NANOS = Duration.ofSeconds(12).toNanos();

  private final Function<StepProgress, Rank> ranks;
  private final WorkPreferences preferences;
  private final SchedulingStatistics statistics;

  /**
   * Creates a planner that relies on estimates alone.
   *
   * @param ranks returns the precedence of steps that are running
   * @param preferences properties of work on the executors, such as its stop time
   */
  public Planner(Function<StepProgress, Rank> ranks, WorkPreferences preferences) {
    this(ranks, preferences, SchedulingStatistics.none());
  }

  /**
   * Creates a planner.
   *
   * @param ranks returns the precedence of steps that are running
   * @param preferences properties of work on the executors, such as its stop time
   * @param statistics what the owner has learned; the planner reads it with each plan
   */
  public Planner(
      Function<StepProgress, Rank> ranks,
      WorkPreferences preferences,
      SchedulingStatistics statistics) {
    this.ranks = ranks;
    this.preferences = preferences;
    this.statistics = statistics;
  }

  /**
   * The result of planning.
   *
   * @param starts where tasks start
   * @param stops runs that are preempted
   * @param deferred gangs that could start but wait for faster executors, where they end earlier
   * @param considered the steps in the order in which use let them be considered
   */
  public record Plan(
      List<TaskPlacement> starts,
      List<Preemption> stops,
      List<WaitingStep> deferred,
      List<PlanOrder.Considered> considered) {

    /** The plan while nothing waits. */
    static final Plan EMPTY = new Plan(List.of(), List.of(), List.of(), List.of());
  }

  /**
   * A run that is preempted.
   *
   * @param run the run
   * @param beneficiary the step that needs its capacity
   */
  public record Preemption(LiveRun run, WaitingStep beneficiary) {}

  /**
   * Makes a plan.
   *
   * @param waiting steps that are ready to start, in any order
   * @param executors executors on which new runs may be placed
   */
  public Plan plan(
      Collection<WaitingStep> waiting, Collection<ExecutorState> executors, long nowNanos) {
    return plan(waiting, executors, run -> false, nowNanos);
  }

  /**
   * Makes a plan.
   *
   * @param useless tells whether the result of a run will come too late to be of any use
   */
  Plan plan(
      Collection<WaitingStep> waiting,
      Collection<ExecutorState> executors,
      Predicate<LiveRun> useless,
      long nowNanos) {
    RunForecast forecast =
        new RunForecast(statistics.runTimes(), useless, preferences.stopTime().toNanos(), nowNanos);
    PlannedUsage usage = new PlannedUsage(statistics.usage());
    Pass pass =
        new Pass(
            executors,
            SpeedClasses.of(executors, statistics.speeds(), nowNanos),
            usage,
            new NearlyLateUse(waiting, usage),
            new Preemptor(ranks, preferences, forecast, statistics.usage(), nowNanos),
            forecast,
            guaranteedNearnessWait(),
            nowNanos);
    List<PlanOrder.Considered> considered = new PlanOrder(waiting, usage).forEach(pass::planStep);
    return new Plan(
        List.copyOf(pass.starts), List.copyOf(pass.stops), List.copyOf(pass.deferred), considered);
  }

  /**
   * Returns how long guaranteed work waits for a placement near its data before its first start.
   */
  private long guaranteedNearnessWait() {
    Duration wait = preferences.reclaimBound().minus(preferences.stopTime()).minus(RECLAIM_RESERVE);
    return Math.max(0, wait.toNanos());
  }

  /** The state of one plan while it is made. */
  private static final class Pass {
    private final FleetCapacity available;
    private final FleetCapacity expected;
    private final FleetCapacity total;
    private final PlannedTasks planned = new PlannedTasks();
    private final List<TaskPlacement> starts = new ArrayList<>();
    private final List<Preemption> stops = new ArrayList<>();
    private final List<WaitingStep> deferred = new ArrayList<>();

    private final PlannedUsage usage;
    private final NearlyLateUse nearlyLateUse;
    private final Preemptor preemptor;
    private final RunForecast forecast;
    private final FasterPlace fasterPlace;
    private final long guaranteedNearnessWaitNanos;

    Pass(
        Collection<ExecutorState> executors,
        SpeedClasses speeds,
        PlannedUsage usage,
        NearlyLateUse nearlyLateUse,
        Preemptor preemptor,
        RunForecast forecast,
        long guaranteedNearnessWaitNanos,
        long nowNanos) {
      this.usage = usage;
      this.nearlyLateUse = nearlyLateUse;
      this.preemptor = preemptor;
      this.forecast = forecast;
      this.fasterPlace = new FasterPlace(forecast, guaranteedNearnessWaitNanos);
      this.guaranteedNearnessWaitNanos = guaranteedNearnessWaitNanos;
      available = FleetCapacity.available(executors, planned, speeds, nowNanos);
      expected = FleetCapacity.available(executors, planned, speeds, nowNanos);
      total = FleetCapacity.total(executors, planned, nowNanos);
      for (ExecutorState executor : executors) {
        for (LiveRun run : executor.runs()) {
          // What ends by itself is free as early as what is stopped now.
          if (run.stage() == Stage.STOPPING || forecast.endsByItself(run)) {
            expected.release(executor, run.demand());
          }
        }
      }
    }

    void planStep(WaitingStep waiting) {
      if (waiting.step().spec().gang()) {
        planGang(waiting);
      } else {
        planTasks(waiting);
      }
    }

    private void planTasks(WaitingStep waiting) {
      int allowedStarts = allowedStarts(waiting);
      if (allowedStarts == 0) {
        return;
      }
      List<TaskPlacement> placements =
          available
              .firstGroup(waiting, nearOnly(waiting))
              .map(group -> FleetCapacity.placeTasks(waiting, waiting.tasks(), group))
              .orElse(List.of());
      placements = placements.subList(0, Math.min(placements.size(), allowedStarts));
      placements.forEach(this::start);
      boolean incomplete = placements.size() < waiting.tasks().size();
      if (incomplete && waiting.urgent()) {
        // Evaluated again: these starts may have filled a fleet that was idle before, and only an
        // idle fleet has capacity to spare for starts away from the data.
        waitOrPreempt(waiting.withoutFirst(placements.size()), nearOnly(waiting));
      }
    }

    private void planGang(WaitingStep waiting) {
      if (allowedStarts(waiting) < waiting.tasks().size()) {
        return;
      }
      boolean nearOnly = nearOnly(waiting);
      Optional<List<TaskPlacement>> now = placeInTightestGroup(waiting, available, nearOnly);
      if (now.isPresent()) {
        Optional<FasterPlace.Place> faster =
            fasterPlace.find(waiting, now.get(), available, nearOnly);
        if (faster.isPresent() && !faster.get().free()) {
          deferred.add(waiting);
          faster.get().placements().forEach(this::reserve);
        } else {
          faster.map(FasterPlace.Place::placements).orElse(now.get()).forEach(this::start);
        }
        return;
      }
      waitOrPreempt(waiting, nearOnly);
    }

    /** Reserves capacity that is being freed for the step, or else preempts other runs for it. */
    private void waitOrPreempt(WaitingStep waiting, boolean nearOnly) {
      if (!waiting.step().job().accepted()) {
        return;
      }
      Optional<List<TaskPlacement>> afterStops = placeInTightestGroup(waiting, expected, nearOnly);
      if (afterStops.isPresent()) {
        afterStops.get().forEach(this::reserve);
        return;
      }
      if (!waiting.urgent() && !waiting.nearlyLate()) {
        return;
      }
      Optional<Preemptor.Selection> selection = preemptor.choose(waiting, expected, nearOnly);
      if (selection.isPresent()) {
        preemptor.markApplied(selection.get());
        selection.get().victims().forEach(run -> stops.add(new Preemption(run, waiting)));
        selection.get().placements().forEach(this::reserve);
      }
    }

    /**
     * Returns how many tasks of a step may start without using the capacity reserved for urgent
     * work.
     */
    private int allowedStarts(WaitingStep waiting) {
      int accelerators = waiting.step().spec().demand().accelerators();
      if (waiting.urgent() || accelerators == 0) {
        return Integer.MAX_VALUE;
      }
      if (idleFor(waiting, IDLE_WAIT_NANOS)) {
        return Integer.MAX_VALUE;
      }
      double reserved =
          total.accelerators()
              * (nearlyLateUse.mayUse(waiting) ? NEARLY_LATE_RESERVE_SHARE : URGENT_RESERVE_SHARE);
      return (int) Math.max(0, (available.accelerators() - reserved) / accelerators);
    }

    /**
     * Tells whether a step has waited for some time although more than half of the fleet is free.
     */
    private boolean idleFor(WaitingStep waiting, long nanos) {
      return waiting.timing().queuedNanos() > nanos && available.exceedsHalfOf(total);
    }

    /**
     * Tells whether a step has to start near its data: this is possible, and it has not waited for
     * long.
     */
    private boolean nearOnly(WaitingStep waiting) {
      if (mayStartAnywhere(waiting)) {
        return false;
      }
      int wanted = waiting.step().spec().gang() ? waiting.tasks().size() : 1;
      return total.tightestGroup(waiting, wanted, true).isPresent();
    }

    private boolean mayStartAnywhere(WaitingStep waiting) {
      if (idleFor(waiting, IDLE_NEARNESS_WAIT_NANOS)) {
        return true;
      }
      StepTiming timing = waiting.timing();
      boolean firstStart = waiting.rank().guaranteed() && !waiting.step().job().begun();
      if (firstStart && timing.waitedNanos() > guaranteedNearnessWaitNanos) {
        return true;
      }
      long estimate = TimeUnit.MILLISECONDS.toNanos(waiting.step().spec().estimateMillis());
      double duration = estimate * forecast.expectedRatio(waiting);
      return timing.queuedNanos() > duration * NEARNESS_WAIT_DURATIONS;
    }

    /** Places all tasks in the group with the least capacity to spare into which they fit. */
    private static Optional<List<TaskPlacement>> placeInTightestGroup(
        WaitingStep waiting, FleetCapacity capacity, boolean nearOnly) {
      List<TaskProgress> tasks = waiting.tasks();
      return capacity
          .tightestGroup(waiting, tasks.size(), nearOnly)
          .map(group -> FleetCapacity.placeTasks(waiting, tasks, group));
    }

    private void start(TaskPlacement placement) {
      starts.add(placement);
      reserve(placement);
    }

    private void reserve(TaskPlacement placement) {
      planned.add(placement);
      available.reserve(placement);
      expected.reserve(placement);
      StepProgress step = placement.step();
      usage.add(step.job().job().organisation(), step.spec().demand());
    }
  }
}
