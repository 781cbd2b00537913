package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.executor.OrderOutcome.ActiveRun;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.BatchStep;

/**
 * Slows work down on executors where tasks that serve users come near the bound of their response
 * times, and lets it speed up again once they are well below. Each decision is held for a while, as
 * its effect shows half a second later.
 */
final class Throttler {

  private static final int FULL_PERCENT = 100;

  /** First step of slowing down; the second is to stand still. */
  private static final int SLOWED_PERCENT = 30;

  /** Share of the bound from which on work beside is slowed down. */
  private static final double NEAR = 0.85;

  /** Share of the bound up to which work beside speeds up again. */
  private static final double FAR = 0.5;

  /** Reported figures are of the last half second, and a pace takes effect after 0.1 s. */
  private static final long HOLD_NANOS = Duration.ofMillis(900).toNanos();

  /** Time well below the bound before work speeds up again. */
  private static final long CALM_NANOS = Duration.ofMillis(2500).toNanos();

  private final OrderSender orders;
  private final Map<ExecutorState, Pace> paces = new HashMap<>();

  /** The pace of the work on one executor. */
  private record Pace(int percent, long since) {}

  Throttler(OrderSender orders) {
    this.orders = orders;
  }

  /** Looks at what an executor reports of its runs. */
  void look(ExecutorState executor, OrderOutcome.Polled report, BatchTurn turn) {
    double nearest = 0;
    for (ActiveRun active : report.active()) {
      nearest = Math.max(nearest, nearness(executor, active));
    }
    Pace pace = paces.getOrDefault(executor, new Pace(FULL_PERCENT, Long.MIN_VALUE / 2));
    int percent = next(pace, nearest, turn.nowNanos() - pace.since());
    if (percent != pace.percent()) {
      change(executor, percent, nearest, turn);
    }
  }

  /** Returns the tail of a serving task over its bound; 0 for other tasks. */
  private static double nearness(ExecutorState executor, ActiveRun active) {
    Optional<BatchStep> step = executor.run(active.run()).map(run -> run.step().spec());
    if (step.isEmpty() || !step.get().serves()) {
      return 0;
    }
    return (double) active.load() / step.get().lasting().orElseThrow().targetMillis();
  }

  private static int next(Pace pace, double nearest, long heldNanos) {
    if (nearest >= NEAR && heldNanos > HOLD_NANOS) {
      return pace.percent() > SLOWED_PERCENT ? SLOWED_PERCENT : 0;
    }
    if (nearest <= FAR && heldNanos > CALM_NANOS) {
      return pace.percent() < SLOWED_PERCENT ? SLOWED_PERCENT : FULL_PERCENT;
    }
    return pace.percent();
  }

  private void change(ExecutorState executor, int percent, double nearest, BatchTurn turn) {
    paces.put(executor, new Pace(percent, turn.nowNanos()));
    turn.note(
        BatchLogEvent.WORK_PACED,
        executor.incarnation(),
        percent,
        Math.round(nearest * FULL_PERCENT));
    for (LiveRun run : executor.runs()) {
      if (!run.step().spec().serves()) {
        orders.pace(executor, run, percent, turn);
      }
    }
  }

  /** Has a run that starts now work at the pace of its executor. */
  void started(ExecutorState executor, LiveRun run, BatchTurn turn) {
    Pace pace = paces.get(executor);
    boolean slowed = pace != null && pace.percent() < FULL_PERCENT;
    if (slowed && !run.step().spec().serves()) {
      orders.pace(executor, run, pace.percent(), turn);
    }
  }

  /**
   * Lets inherited runs work at full pace, since the former owner may have slowed them down; only
   * where some of the inherited tasks serve users, as it had no reason elsewhere.
   */
  void inherited(
      List<LiveRun> runs, Function<LiveRun, Optional<ExecutorState>> executors, BatchTurn turn) {
    if (runs.stream().noneMatch(run -> run.step().spec().serves())) {
      return;
    }
    for (LiveRun run : runs) {
      if (!run.step().spec().serves()) {
        executors.apply(run).ifPresent(executor -> orders.pace(executor, run, FULL_PERCENT, turn));
      }
    }
  }

  /** Forgets an executor that is gone. */
  void forget(ExecutorState executor) {
    paces.remove(executor);
  }
}
