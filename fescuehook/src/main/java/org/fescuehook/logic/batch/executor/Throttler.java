package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.OrderOutcome.ActiveRun;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.BatchStep;

/**
 * Throttles other work on executors where tasks that serve users come close to their response time
 * target, and releases it again once they are well below. Each decision is kept for a while, as its
 * effect shows only half a second later.
 */
final class Throttler {

  private static final int FULL_PERCENT = 100;

  /** First throttling level; the second one is to halt the work. */
  private static final int THROTTLED_PERCENT = 30;

  /** Ratio of response time to target from which on other work is throttled. */
  private static final double THROTTLE_RATIO = 0.85;

  /** Ratio of response time to target up to which other work is released. */
  private static final double RELEASE_RATIO = 0.5;

  /**
   * Least time for which a level is kept: reported figures cover the last half second, and a new
   * level takes effect after 0.1 s.
   */
  private static final long MIN_HOLD_NANOS = Duration.ofMillis(900).toNanos();

  /** Time at the present level before work is released. */
  private static final long RELEASE_DELAY_NANOS = Duration.ofMillis(2500).toNanos();

  private final OrderSender orders;
  private final Map<ExecutorState, Level> levels = new HashMap<>();

  /**
   * The throttling level of the work on one executor.
   *
   * @param percent percentage of full speed
   * @param since when the level was set, monotonic time
   */
  private record Level(int percent, long since) {}

  Throttler(OrderSender orders) {
    this.orders = orders;
  }

  /** Adapts the throttling level of an executor to the loads that it reports. */
  void evaluate(ExecutorState executor, OrderOutcome.Polled report, BatchContext context) {
    double maxRatio = 0;
    for (ActiveRun active : report.active()) {
      maxRatio = Math.max(maxRatio, loadRatio(executor, active));
    }
    Level level = levels.getOrDefault(executor, new Level(FULL_PERCENT, Long.MIN_VALUE / 2));
    int percent = nextPercent(level, maxRatio, context.nowNanos() - level.since());
    if (percent != level.percent()) {
      applyLevel(executor, percent, maxRatio, context);
    }
  }

  /**
   * Returns the ratio of the tail of a serving task's response times to its target; 0 for other
   * tasks.
   */
  private static double loadRatio(ExecutorState executor, ActiveRun active) {
    Optional<BatchStep> step = executor.run(active.run()).map(run -> run.step().spec());
    if (step.isEmpty() || !step.get().servesUsers()) {
      return 0;
    }
    return (double) active.load() / step.get().longRunning().orElseThrow().targetMillis();
  }

  private static int nextPercent(Level level, double maxRatio, long heldNanos) {
    if (maxRatio >= THROTTLE_RATIO && heldNanos > MIN_HOLD_NANOS) {
      return level.percent() > THROTTLED_PERCENT ? THROTTLED_PERCENT : 0;
    }
    if (maxRatio <= RELEASE_RATIO && heldNanos > RELEASE_DELAY_NANOS) {
      return level.percent() < THROTTLED_PERCENT ? THROTTLED_PERCENT : FULL_PERCENT;
    }
    return level.percent();
  }

  private void applyLevel(
      ExecutorState executor, int percent, double maxRatio, BatchContext context) {
    levels.put(executor, new Level(percent, context.nowNanos()));
    context.note(
        BatchLogEvent.WORK_PACED,
        executor.incarnation(),
        percent,
        Math.round(maxRatio * FULL_PERCENT));
    for (LiveRun run : executor.runs()) {
      if (!run.step().spec().servesUsers()) {
        orders.throttle(executor, run, percent, context);
      }
    }
  }

  /** Throttles a run that has just started to the level of its executor. */
  void runStarted(ExecutorState executor, LiveRun run, BatchContext context) {
    Level level = levels.get(executor);
    boolean throttled = level != null && level.percent() < FULL_PERCENT;
    if (throttled && !run.step().spec().servesUsers()) {
      orders.throttle(executor, run, level.percent(), context);
    }
  }

  /**
   * Releases inherited runs, since the former owner may have throttled them. It had no reason to do
   * so if none of the tasks serves users; nothing is sent in that case.
   */
  void releaseInherited(
      List<LiveRun> runs,
      Function<LiveRun, Optional<ExecutorState>> executors,
      BatchContext context) {
    if (runs.stream().noneMatch(run -> run.step().spec().servesUsers())) {
      return;
    }
    for (LiveRun run : runs) {
      if (!run.step().spec().servesUsers()) {
        executors
            .apply(run)
            .ifPresent(executor -> orders.throttle(executor, run, FULL_PERCENT, context));
      }
    }
  }

  /** Forgets an executor that is gone. */
  void forget(ExecutorState executor) {
    levels.remove(executor);
  }
}
