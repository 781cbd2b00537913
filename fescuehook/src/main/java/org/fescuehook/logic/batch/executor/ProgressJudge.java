package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;

/** Judges executors by the progress of their runs against its estimates. */
final class ProgressJudge {

  /** Speed against the estimate below which a run hardly progresses; estimates are off by half. */
  private static final double SLUGGISH = 0.3;

  /** Speed against the estimate above which a run progresses well. */
  private static final double BRISK = 0.5;

  /** A run is judged after this time and this share of its estimate. */
  private static final Duration LEAST_TIME = Duration.ofMillis(900);

  private static final double LEAST_SHARE = 0.3;

  /** A run is moved if it would still take this many times its estimate where it is. */
  private static final double WORTH_MOVING = 1.5;

  private static final double PERCENT = 100.0;

  private ProgressJudge() {}

  /**
   * Takes a look at a run.
   *
   * @return whether the run should start again elsewhere
   */
  static boolean judge(ExecutorState executor, LiveRun run, long nowNanos) {
    boolean comparable =
        run.stage() == Stage.RUNNING
            && run.checkpoint().isEmpty()
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
    if (speed >= SLUGGISH) {
      return false;
    }
    if (run.judgeOnce()) {
      executor.speed().sluggish(nowNanos);
    }
    double left = (PERCENT - run.percent()) / Math.max(1, run.percent()) * elapsed;
    return executor.speed().slow(nowNanos) && left > estimate * WORTH_MOVING;
  }
}
