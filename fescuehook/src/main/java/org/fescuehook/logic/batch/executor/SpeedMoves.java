package org.fescuehook.logic.batch.executor;

import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.model.batch.BatchStep;

/**
 * Decides whether a run that saves checkpoints, or its gang, moves away from an executor that has
 * suddenly become slow.
 */
final class SpeedMoves {

  /**
   * Logarithm of the slowdown from which on a move is considered. Reports change the slowdown by at
   * most a factor of two each, so that at least two show it.
   */
  private static final double MIN_SLOWDOWN = -Math.log(3);

  /** How long a slowdown lasts once two reports have shown it; it lasts about 7 s in all. */
  private static final double SLOW_MILLIS = 5000;

  /** Duration of a move: the stop, the work since the last checkpoint, the start, the restore. */
  private static final double MOVE_MILLIS = 2000;

  /** Least gain, since it is not certain that other executors have capacity at once. */
  private static final double MIN_GAIN_MILLIS = 1000;

  private static final double PERCENT = 100;

  private SpeedMoves() {}

  /** Tells whether a run that has just reported its progress ends earlier if it is moved. */
  static boolean pays(
      ExecutorState executor, LiveRun run, SchedulingStatistics statistics, BatchContext context) {
    BatchStep spec = run.step().spec();
    boolean movable =
        statistics.speeds().enabled()
            && run.stage() == Stage.RUNNING
            && spec.checkpointing()
            && spec.longRunning().isEmpty()
            && !run.wasThrottled();
    if (!movable) {
      return false;
    }
    double speed = statistics.speeds().logSpeed(executor.incarnation(), context.nowNanos());
    double lasting =
        statistics.speeds().logLastingSpeed(executor.incarnation(), context.nowNanos());
    double slowdown = speed - lasting;
    if (slowdown > MIN_SLOWDOWN) {
      return false;
    }
    double left =
        spec.estimateMillis()
            * statistics.runTimes().expectedRatio(run.step())
            * (1 - run.percent() / PERCENT);
    double here = leftHere(left / Math.exp(lasting), Math.exp(slowdown));
    if (here < left + MOVE_MILLIS + MIN_GAIN_MILLIS || !run.step().countMove(run)) {
      return false;
    }
    context.note(
        BatchLogEvent.RUN_MOVES,
        run.run(),
        executor.incarnation(),
        Math.round(PERCENT * Math.exp(speed)),
        Math.round(here));
    return true;
  }

  /** Returns the time until work is done here, which is slow for a while and then normal again. */
  private static double leftHere(double normalMillis, double slowdown) {
    double doneWhileSlow = SLOW_MILLIS * slowdown;
    return normalMillis <= doneWhileSlow
        ? normalMillis / slowdown
        : SLOW_MILLIS + normalMillis - doneWhileSlow;
  }
}
