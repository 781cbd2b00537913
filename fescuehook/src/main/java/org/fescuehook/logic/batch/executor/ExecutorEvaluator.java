package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.OptionalDouble;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.batch.RunEnd;

/** Judges executors by how their runs end, and by their progress against the estimates. */
final class ExecutorEvaluator {

  /**
   * First rest of an executor on which a run failed. One run in twenty fails by its own fault, and
   * a sick executor, of which there are few, fails each: after one failure either is as likely.
   */
  private static final Duration FAILURE_REST = Duration.ofSeconds(2);

  /** The longest rest is this often doubled: 16 s, somewhat longer than such trouble lasts. */
  private static final int MOST_REST_DOUBLINGS = 3;

  /**
   * Speed against the estimate below which a run hardly progresses. Estimates are off by half or
   * more, so that one run in fifty looks so by its estimate alone.
   */
  private static final double SLUGGISH = 0.2;

  /** Speed against the estimate above which a run progresses well. */
  private static final double BRISK = 0.5;

  /** A run is judged after this time and this share of its estimate. */
  private static final Duration LEAST_TIME = Duration.ofMillis(900);

  private static final double LEAST_SHARE = 0.3;

  /** A run is moved if it would still take this many times its estimate where it is. */
  private static final double WORTH_MOVING = 4;

  /**
   * Share of the speed of the others of its step below which a run shows that its executor is slow;
   * tasks of a step differ by a third, and executors by as much.
   */
  private static final double SLOWER_THAN_OTHERS = 0.4;

  private static final double PERCENT = 100.0;

  private ExecutorEvaluator() {}

  /**
   * Rests an executor on which runs fail, longer each time, until one is done there. A run that has
   * failed elsewhere before is no evidence: a hopeless job would rest one executor after the other.
   */
  static void ended(ExecutorState executor, LiveRun run, RunEnd end, BatchTurn turn) {
    if (end == RunEnd.DONE) {
      executor.succeeded();
    }
    if (end != RunEnd.FAILED || run.step().failedElsewhere(run.incarnation())) {
      return;
    }
    int doublings = Math.min(executor.failed() - 1, MOST_REST_DOUBLINGS);
    executor.rest(FAILURE_REST.multipliedBy(1L << doublings), "a run failed there", turn);
  }

  /**
   * Takes a look at the progress of a run.
   *
   * @return whether the run should start again elsewhere
   */
  static boolean standsStill(ExecutorState executor, LiveRun run, long nowNanos) {
    boolean comparable =
        run.stage() == Stage.RUNNING
            && run.checkpoint().isEmpty()
            && run.step().spec().lasting().isEmpty()
            && !run.wasSlowedDown()
            && !run.step().spec().placement().sameRack();
    double estimate = run.step().spec().estimateMillis();
    double elapsed = Duration.ofNanos(nowNanos - run.stageSince()).toMillis();
    if (!comparable || elapsed < Math.max(LEAST_TIME.toMillis(), estimate * LEAST_SHARE)) {
      return false;
    }
    double speed = run.percent() / PERCENT * estimate / elapsed;
    if (speed >= BRISK) {
      executor.speed().brisk();
      return false;
    }
    if (speed >= SLUGGISH || asFastAsOthers(run)) {
      return false;
    }
    if (run.judgeOnce()) {
      executor.speed().sluggish(nowNanos);
    }
    double left = (PERCENT - run.percent()) / Math.max(1, run.percent()) * elapsed;
    boolean worthMoving = executor.speed().slow(nowNanos) && left > estimate * WORTH_MOVING;
    return worthMoving && run.step().mayMove(run);
  }

  /**
   * Tells whether the other runs of its step are hardly faster: then the estimate is off, which it
   * may be by ten times, and not the executor. Two executors of a gang are rarely slow at once.
   */
  private static boolean asFastAsOthers(LiveRun run) {
    OptionalDouble usual = run.step().usualSpeed(run);
    return usual.isPresent() && run.speed() > usual.getAsDouble() * SLOWER_THAN_OTHERS;
  }
}
