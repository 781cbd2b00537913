package org.fescuehook.logic.batch.executor;

import java.time.Duration;

/** Detects from the progress of its runs whether an executor is slow. */
public final class SlownessDetector {

  /**
   * Number of slow runs, with none in between that progresses normally, from which on the executor
   * counts as slow. A single one may have a wrong estimate, or belong to a gang that waits for a
   * member elsewhere.
   */
  private static final int MIN_SLOW_RUNS = 2;

  /** How long a slow run counts; such slowness lasts about 7 s. */
  private static final long RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

  private int slowRuns;
  private long lastSlowRunAt;

  /** Records that a run here is much slower than its estimate. */
  public void slowRun(long nowNanos) {
    slowRuns++;
    lastSlowRunAt = nowNanos;
  }

  /** Records that a run here progresses normally. */
  public void normalRun() {
    slowRuns = 0;
  }

  /** Tells whether the executor counts as slow. */
  public boolean slow(long nowNanos) {
    return slowRuns >= MIN_SLOW_RUNS && nowNanos - lastSlowRunAt < RETENTION_NANOS;
  }
}
