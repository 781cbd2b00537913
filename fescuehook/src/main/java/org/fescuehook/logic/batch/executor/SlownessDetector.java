package org.fescuehook.logic.batch.executor;

import java.time.Duration;

/** What the runs on one executor have shown of its speed. */
public final class SlownessDetector {

  /**
   * Runs that hardly progress, with none in between that does well, after which the executor counts
   * as slow. One may be a bad estimate, or a gang that waits for a member elsewhere.
   */
  private static final int ENOUGH = 2;

  /** How long a finding counts; such trouble lasts some 7 s. */
  private static final long COUNTS_NANOS = Duration.ofSeconds(10).toNanos();

  private int sluggish;
  private long lastSluggishAt;

  /** A run hardly progresses here. */
  public void sluggish(long nowNanos) {
    sluggish++;
    lastSluggishAt = nowNanos;
  }

  /** A run progresses well here. */
  public void brisk() {
    sluggish = 0;
  }

  /** Tells whether the executor counts as slow. */
  public boolean slow(long nowNanos) {
    return sluggish >= ENOUGH && nowNanos - lastSluggishAt < COUNTS_NANOS;
  }
}
