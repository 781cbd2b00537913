package org.fescuehook.logic.batch.plan;

import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.toSet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.advice.AdviceNeed;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.PlannedUsage;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.model.preferences.WorkPreferences;

/**
 * Decides which tasks start where and which runs are preempted. Each pool is planned by itself, so
 * that nothing in its plan counts executors of other pools; only what organisations use is counted
 * over all of them. Equal input gives equal plans; the planner remembers only since when gangs have
 * reservations, and what is being freed for which step.
 */
public final class Planner {

  /**
   * Part of the time bound for the first start of guaranteed work that remains, besides the stop of
   * other runs, once the work no longer waits for a placement near its data. It covers a postponed
   * plan, storing the placement and one unanswered start order.
   */
  private static final Duration RECLAIM_RESERVE = Duration.ofMillis(1300);

  private final Function<StepProgress, Rank> ranks;
  private final WorkPreferences preferences;
  private final SchedulingStatistics statistics;
  private final ReservationBook reservationBook;
  private final FreedCapacity freedCapacity;

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
    this.reservationBook = new ReservationBook(statistics.preferences().reservations());
    this.freedCapacity = new FreedCapacity(preferences.stopTime().toNanos());
  }

  /**
   * The result of planning.
   *
   * @param starts where tasks start
   * @param stops runs that are preempted
   * @param deferred gangs that could start but wait for faster executors, where they end earlier
   * @param considered the steps in the order in which use let them be considered
   * @param reservations capacity that is reserved for gangs that do not fit yet
   * @param heldBack steps that do not start since capacity stays free for urgent work
   * @param held all steps of which nothing starts
   * @param adviceNeeds tickets that steps lack to start or to preempt, in the order of planning
   */
  public record Plan(
      List<TaskPlacement> starts,
      List<Preemption> stops,
      List<WaitingStep> deferred,
      List<PlanOrder.Considered> considered,
      List<Reservation> reservations,
      List<HeldBack> heldBack,
      List<HeldStep> held,
      List<AdviceNeed> adviceNeeds) {

    /** Copies the lists. */
    public Plan {
      starts = List.copyOf(starts);
      stops = List.copyOf(stops);
      deferred = List.copyOf(deferred);
      considered = List.copyOf(considered);
      reservations = List.copyOf(reservations);
      heldBack = List.copyOf(heldBack);
      held = List.copyOf(held);
      adviceNeeds = List.copyOf(adviceNeeds);
    }

    private static Plan join(List<Plan> plans) {
      if (plans.size() == 1) {
        return plans.getFirst();
      }
      return new Plan(
          plans.stream().flatMap(plan -> plan.starts().stream()).toList(),
          plans.stream().flatMap(plan -> plan.stops().stream()).toList(),
          plans.stream().flatMap(plan -> plan.deferred().stream()).toList(),
          plans.stream().flatMap(plan -> plan.considered().stream()).toList(),
          plans.stream().flatMap(plan -> plan.reservations().stream()).toList(),
          plans.stream().flatMap(plan -> plan.heldBack().stream()).toList(),
          plans.stream().flatMap(plan -> plan.held().stream()).toList(),
          plans.stream().flatMap(plan -> plan.adviceNeeds().stream()).toList());
    }

    /** Returns the rule that keeps a step from starting. */
    HeldBy heldBy(WaitingStep waiting) {
      for (HeldStep step : held) {
        if (step.waiting().equals(waiting)) {
          return step.by();
        }
      }
      return HeldBy.NOTHING;
    }

    /** Returns the steps of which tasks start. */
    Set<StepProgress> startedSteps() {
      return starts.stream().map(TaskPlacement::step).collect(toSet());
    }

    /** The plan while nothing waits. */
    static final Plan EMPTY =
        new Plan(
            List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
  }

  /**
   * A step that does not start, since capacity of its pool stays free for urgent work.
   *
   * @param free free accelerators of the pool
   * @param keptFree those that stay free for urgent work
   * @param total all accelerators of the pool
   */
  record HeldBack(WaitingStep waiting, int free, int keptFree, int total) {}

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
    return plan(waiting, executors, List.of(), run -> false, nowNanos);
  }

  /**
   * Makes a plan.
   *
   * @param listed all executors that are listed
   * @param useless tells whether the result of a run will come too late to be of any use
   */
  Plan plan(
      Collection<WaitingStep> waiting,
      Collection<ExecutorState> executors,
      Collection<ExecutorState> listed,
      Predicate<LiveRun> useless,
      long nowNanos) {
    RunForecast forecast =
        new RunForecast(statistics.runTimes(), useless, preferences.stopTime().toNanos(), nowNanos);
    PlannedUsage usage = new PlannedUsage(statistics.usage());
    NearlyLateUse nearlyLateUse = new NearlyLateUse(waiting, usage);
    Preemptor preemptor = new Preemptor(ranks, preferences, forecast, statistics.usage(), nowNanos);
    List<Plan> plans = new ArrayList<>();
    Map<String, List<WaitingStep>> byPool = waiting.stream().collect(groupingBy(WaitingStep::pool));
    for (String name : byPool.keySet().stream().sorted().toList()) {
      List<ExecutorState> pool = pool(name, executors);
      List<ExecutorState> listedInPool = pool(name, listed);
      PlanPass pass =
          new PlanPass(
              pool,
              UnusableCapacity.of(
                  listedInPool, executor -> executor.inService() && executor.silent()),
              UnusableCapacity.of(listedInPool, executor -> !executor.usable(nowNanos)),
              SpeedClasses.of(pool, statistics.speeds(), nowNanos),
              usage,
              nearlyLateUse,
              preemptor,
              forecast,
              statistics,
              reservationBook,
              freedCapacity,
              guaranteedNearnessWait(),
              nowNanos);
      plans.add(pass.plan(new PlanOrder(byPool.get(name), usage).forEach(pass::planStep)));
    }
    Plan plan = Plan.join(plans);
    reservationBook.update(plan.reservations(), waiting, nowNanos);
    freedCapacity.update(plan, waiting);
    return plan;
  }

  /** Returns what is being freed for the steps that wait. */
  FreedCapacity freedCapacity() {
    return freedCapacity;
  }

  private static List<ExecutorState> pool(String name, Collection<ExecutorState> executors) {
    return executors.stream().filter(executor -> executor.profile().pool().equals(name)).toList();
  }

  /**
   * Returns how long guaranteed work waits for a placement near its data before its first start.
   */
  private long guaranteedNearnessWait() {
    Duration wait = preferences.reclaimBound().minus(preferences.stopTime()).minus(RECLAIM_RESERVE);
    return Math.max(0, wait.toNanos());
  }
}
