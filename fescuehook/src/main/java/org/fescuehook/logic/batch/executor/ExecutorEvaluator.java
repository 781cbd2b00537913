package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.logic.batch.statistics.StartReliability;
import org.fescuehook.model.batch.RunEnd;

/**
 * Evaluates the health of executors from the results of their runs and from the progress of runs
 * compared with their estimates.
 */
final class ExecutorEvaluator {

  /**
   * First backoff of an executor on which a run failed. One run in twenty fails for its own
   * reasons. A faulty executor fails every run, but such executors are rare, so after one failure
   * either cause is equally likely.
   */
  private static final Duration FAILURE_BACKOFF = Duration.ofSeconds(2);

  /** Limits the backoff to 16 s, somewhat longer than such faults last. */
  private static final int MAX_BACKOFF_DOUBLINGS = 3;

  /**
   * Speed relative to the estimate below which a run counts as slow. Estimates are off by half or
   * more, so one run in fifty falls below this because of its estimate alone.
   */
  private static final double SLOW_RATIO = 0.2;

  /** Speed relative to the estimate from which on a run counts as progressing normally. */
  private static final double NORMAL_RATIO = 0.5;

  /**
   * A run is evaluated once it has run for this time and for {@link #MIN_ELAPSED_SHARE} of its
   * estimated duration.
   */
  private static final Duration MIN_ELAPSED = Duration.ofMillis(900);

  private static final double MIN_ELAPSED_SHARE = 0.3;

  /** A run is moved if its remaining time where it is exceeds this multiple of its estimate. */
  private static final double MOVE_THRESHOLD = 4;

  /**
   * Share of the usual speed of the other runs of its step below which a run shows that its
   * executor is slow. Tasks of a step differ by a third in speed, and executors by as much.
   */
  private static final double SLOW_AGAINST_OTHERS = 0.4;

  private static final double PERCENT = 100.0;

  private ExecutorEvaluator() {}

  /**
   * Backs off from an executor on which a run failed, for twice as long after each further failure,
   * until a run is done there. A run that has failed elsewhere before is no evidence: a job that
   * always fails would otherwise make one executor after the other unavailable.
   *
   * <p>If start reliability is in use, the evidence of all jobs decides instead.
   */
  static void ended(
      ExecutorState executor,
      LiveRun run,
      RunEnd end,
      SchedulingStatistics statistics,
      BatchContext context) {
    StartReliability reliability = statistics.reliability();
    if (reliability.enabled()) {
      reliability.ended(executor.incarnation(), run, end, context);
      Optional<Duration> backoff =
          end == RunEnd.FAILED
              ? reliability.backoff(executor.incarnation().id(), context.nowNanos())
              : Optional.empty();
      backoff.ifPresent(length -> executor.backOff(length, "runs of several jobs fail", context));
      return;
    }
    if (end == RunEnd.DONE) {
      executor.succeeded();
    }
    if (end != RunEnd.FAILED || run.step().failedElsewhere(run.incarnation())) {
      return;
    }
    int doublings = Math.min(executor.failed() - 1, MAX_BACKOFF_DOUBLINGS);
    executor.backOff(FAILURE_BACKOFF.multipliedBy(1L << doublings), "a run failed there", context);
  }

  /**
   * Evaluates the progress of a run.
   *
   * @return whether the run should be restarted on another executor
   */
  static boolean shouldMove(
      ExecutorState executor, LiveRun run, SchedulingStatistics statistics, long nowNanos) {
    boolean comparable =
        run.stage() == Stage.RUNNING
            && run.checkpoint().isEmpty()
            && run.step().spec().longRunning().isEmpty()
            && !run.wasThrottled()
            && !run.step().spec().placement().sameRack();
    OptionalLong since = comparable ? run.step().ableToProgressSince(run) : OptionalLong.empty();
    if (since.isEmpty()) {
      return false;
    }
    double estimate = run.step().spec().estimateMillis();
    double elapsed = Duration.ofNanos(nowNanos - since.getAsLong()).toMillis();
    if (elapsed < Math.max(MIN_ELAPSED.toMillis(), estimate * MIN_ELAPSED_SHARE)) {
      return false;
    }
    double speed = run.percent() / PERCENT * estimate / elapsed;
    if (speed >= NORMAL_RATIO) {
      executor.slowness().normalRun();
      return false;
    }
    if (speed >= SLOW_RATIO || asFastAsOthers(run)) {
      return false;
    }
    if (run.markEvaluated()) {
      executor.slowness().slowRun(nowNanos);
    }
    double left = (PERCENT - run.percent()) / Math.max(1, run.percent()) * elapsed;
    boolean movingPays = executor.slowness().slow(nowNanos) && left > estimate * MOVE_THRESHOLD;
    return movingPays && run.step().countMove(run);
  }

  /**
   * Tells whether the other runs of its step are hardly faster. Then the estimate is wrong, which
   * may be by a factor of ten, and not the executor slow. Two executors of a gang are rarely slow
   * at the same time.
   */
  private static boolean asFastAsOthers(LiveRun run) {
    OptionalDouble usual = run.step().medianSpeedOfOthers(run);
    return usual.isPresent() && run.speed() > usual.getAsDouble() * SLOW_AGAINST_OTHERS;
  }
}
