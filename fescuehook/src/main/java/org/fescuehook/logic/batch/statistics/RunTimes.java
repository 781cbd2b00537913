package org.fescuehook.logic.batch.statistics;

import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.RunEnd;

/** Durations of tasks relative to the estimates of their callers. */
public final class RunTimes {

  private final boolean enabled;

  /**
   * Creates statistics that know nothing yet.
   *
   * @param enabled whether anything is learned; otherwise all answers stay neutral
   */
  public RunTimes(boolean enabled) {
    this.enabled = enabled;
  }

  /**
   * Learns from the end of a run, which is still on its executor.
   *
   * @param nowNanos monotonic time at which the end was read
   */
  public void ended(LiveRun run, RunEnd end, long nowNanos) {}

  /**
   * Returns the expected time until a run is done. While nothing is known about its queue or its
   * executor, this is {@link LiveRun#estimatedLeftMillis}.
   *
   * @param nowNanos monotonic time
   */
  public long expectedLeftMillis(LiveRun run, long nowNanos) {
    return run.estimatedLeftMillis();
  }

  /** Returns whether anything is learned. */
  public boolean enabled() {
    return enabled;
  }
}
