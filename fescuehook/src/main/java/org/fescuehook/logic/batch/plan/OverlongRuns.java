package org.fescuehook.logic.batch.plan;

import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.toMap;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.WasteCause;
import org.fescuehook.logic.batch.statistics.RunTimes;

/**
 * Limits the capacity that runs far beyond their expected duration hold while others wait. Only
 * runs are stopped that lose little: those that save checkpoints, and those whose result will be
 * too late to be of use. A long task takes as long again elsewhere, so that stopping any other run
 * would only waste its work.
 */
final class OverlongRuns {

  /** Multiple of the expected duration from which on a run is overlong. */
  private static final double OVERLONG = 3;

  /**
   * Share of a pool that overlong runs may hold. Where 3 percent of the tasks take seven times as
   * long, they hold 18 percent of a full fleet in all, but exceed three times their expected
   * duration only in the last four sevenths of that time.
   */
  private static final double MAX_SHARE = 0.1;

  private static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

  private static final double PERCENT = 100;

  private final RunTimes runTimes;
  private final ExecutorDuty executors;
  private final Function<StepProgress, Rank> ranks;

  private long checkedAt;

  OverlongRuns(
      RunTimes runTimes,
      ExecutorDuty executors,
      Function<StepProgress, Rank> ranks,
      long nowNanos) {
    this.runTimes = runTimes;
    this.executors = executors;
    this.ranks = ranks;
    this.checkedAt = nowNanos;
  }

  /**
   * Stops overlong runs that exceed the limit, if work waits that the plan could not start.
   *
   * @param useless tells whether the result of a run will come too late to be of any use
   */
  void limit(
      List<WaitingStep> waiting,
      Planner.Plan plan,
      Collection<ExecutorState> usable,
      Predicate<LiveRun> useless,
      BatchContext context) {
    if (!runTimes.enabled() || context.nowNanos() - checkedAt < CHECK_INTERVAL_NANOS) {
      return;
    }
    checkedAt = context.nowNanos();
    Map<String, List<ExecutorState>> pools =
        usable.stream().collect(groupingBy(executor -> executor.profile().pool()));
    blocked(waiting, plan)
        .forEach(
            (pool, rank) -> limit(rank, pools.getOrDefault(pool, List.of()), useless, context));
  }

  /**
   * Limits the overlong runs of a pool.
   *
   * @param blocked the first rank of work that waits for the pool
   */
  private void limit(
      Rank blocked,
      Collection<ExecutorState> pool,
      Predicate<LiveRun> useless,
      BatchContext context) {
    double total = 0;
    double held = 0;
    List<LiveRun> overlong = new ArrayList<>();
    for (ExecutorState executor : pool) {
      total += executor.profile().capacity().coreEquivalents();
      for (LiveRun run : executor.runs()) {
        if (run.stage() == Stage.RUNNING && runTimes.overrun(run, context.nowNanos()) >= OVERLONG) {
          overlong.add(run);
          held += run.demand().coreEquivalents();
        }
      }
    }
    overlong.sort(
        Comparator.comparing((LiveRun run) -> !useless.test(run))
            .thenComparing(run -> -runTimes.expectedLeftMillis(run, context.nowNanos())));
    for (LiveRun run : overlong) {
      if (held <= total * MAX_SHARE) {
        return;
      }
      boolean loses = !run.step().spec().checkpointing() && !useless.test(run);
      boolean precedes = ranks.apply(run.step()).before(blocked);
      // Each task yields once, so that it ends some time.
      if (loses || precedes || run.stage() != Stage.RUNNING || !run.step().countMove(run)) {
        continue;
      }
      held -= stop(run, held / total, context);
    }
  }

  /**
   * Returns for each pool the first rank of work that can still be of use and that the plan did not
   * start.
   */
  private static Map<String, Rank> blocked(List<WaitingStep> waiting, Planner.Plan plan) {
    Set<StepProgress> started = plan.startedSteps();
    return waiting.stream()
        .filter(step -> step.timing().prospect() != StepTiming.Prospect.TOO_LATE)
        .filter(step -> !started.contains(step.step()))
        .collect(
            toMap(
                WaitingStep::pool,
                WaitingStep::rank,
                BinaryOperator.minBy(Comparator.naturalOrder()),
                TreeMap::new));
  }

  /** Stops a run with its gang and returns the cores that this frees. */
  private double stop(LiveRun run, double share, BatchContext context) {
    boolean gang = run.step().spec().gang();
    context.note(
        BatchLogEvent.OVERLONG_RUN_STOPPED,
        run.run(),
        run.incarnation(),
        Math.round(PERCENT * runTimes.overrun(run, context.nowNanos())),
        Math.round(PERCENT * share));
    double freed = 0;
    for (LiveRun stopped : gang ? run.step().liveRuns() : List.of(run)) {
      stopped.wastedBy(WasteCause.OVERLONG);
      executors.stop(stopped, WasteCause.OVERLONG.text(), context);
      freed += stopped.demand().coreEquivalents();
    }
    return freed;
  }
}
