package org.fescuehook.logic.control.ownership;

import java.time.Duration;
import org.fescuehook.logic.control.DecisionContext;

/** Tracks whether this VM has read the control stream to its end, and since when. */
public final class CatchUpTracker {

  /**
   * Number of times that the end of the stream has to be reached after a pause. The first of these
   * reads may have been done before the pause and only be handled after it.
   */
  private static final int CATCH_UPS_AFTER_PAUSE = 2;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Duration staleAfter;
  private int neededCatchUps = 1;
  private boolean reachable = true;
  private long lastReadNanos = NEVER;
  private long currentSinceNanos = NEVER;
  private long resumedNanos = NEVER;
  private boolean everCurrent;

  /**
   * Creates a tracker that has seen no read.
   *
   * @param staleAfter time after which the state is stale if the end of the stream was not reached
   *     again
   */
  public CatchUpTracker(Duration staleAfter) {
    this.staleAfter = staleAfter;
  }

  /** Handles that a read reached the end of the stream. */
  public void caughtUp(DecisionContext context) {
    boolean wasCurrent = current(context);
    neededCatchUps = Math.max(0, neededCatchUps - 1);
    reachable = true;
    lastReadNanos = context.nowNanos();
    if (!wasCurrent) {
      currentSinceNanos = context.nowNanos();
    }
    everCurrent = everCurrent || neededCatchUps == 0;
  }

  /** Handles that a read failed. */
  public void unreachable() {
    reachable = false;
  }

  /** Handles that the decision thread was suspended. */
  public void paused(DecisionContext context) {
    neededCatchUps = CATCH_UPS_AFTER_PAUSE;
    reachable = true;
    resumedNanos = context.nowNanos();
  }

  /** Returns whether the state is up to date: the end of the stream was reached recently. */
  public boolean current(DecisionContext context) {
    return neededCatchUps == 0 && reachable && !context.hasElapsed(lastReadNanos, staleAfter);
  }

  /**
   * Returns whether the log cannot be read. Time before the last pause is ignored, since nothing
   * was read while the thread was suspended.
   */
  public boolean outage(DecisionContext context) {
    return !reachable || context.hasElapsed(Math.max(lastReadNanos, resumedNanos), staleAfter);
  }

  /** Returns whether the end of the stream was ever reached. */
  public boolean everCurrent() {
    return everCurrent;
  }

  /** Returns the monotonic time since which the state is up to date. */
  public long currentSinceNanos() {
    return currentSinceNanos;
  }

  /** Returns the monotonic time at which the end of the stream was last reached. */
  public long lastReadNanos() {
    return lastReadNanos;
  }
}
