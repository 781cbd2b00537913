package org.fescuehook.logic.control.ownership;

import java.time.Duration;
import org.fescuehook.logic.control.DecisionContext;

/** Knows whether this VM has read the control stream to its end, and since when. */
public final class CatchUpTracker {

  /**
   * Ends of reads that are needed after a pause. The first one may have been read before the pause
   * and only been taken in after it.
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
   * Creates a watch that has seen no read.
   *
   * @param freshness longest time since the last end of the stream was reached
   */
  public CatchUpTracker(Duration staleAfter) {
    this.staleAfter = staleAfter;
  }

  /** The end of the stream was reached. */
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

  /** A read failed. */
  public void unreachable() {
    reachable = false;
  }

  /** The thread stood still. */
  public void paused(DecisionContext context) {
    neededCatchUps = CATCH_UPS_AFTER_PAUSE;
    reachable = true;
    resumedNanos = context.nowNanos();
  }

  /** Tells whether the state is that of the end of the stream, but for the last moments. */
  public boolean current(DecisionContext context) {
    return neededCatchUps == 0 && reachable && !context.hasElapsed(lastReadNanos, staleAfter);
  }

  /** Tells whether the log cannot be read, as far as was seen since the last pause. */
  public boolean outage(DecisionContext context) {
    return !reachable || context.hasElapsed(Math.max(lastReadNanos, resumedNanos), staleAfter);
  }

  /** Tells whether the end of the stream was ever reached. */
  public boolean everCurrent() {
    return everCurrent;
  }

  /** Returns since when the state is that of the end of the stream. */
  public long currentSinceNanos() {
    return currentSinceNanos;
  }

  /** Returns when the end of the stream was reached last. */
  public long lastReadNanos() {
    return lastReadNanos;
  }
}
