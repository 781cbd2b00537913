package org.fescuehook.logic.control.ownership;

import java.time.Duration;
import org.fescuehook.logic.control.DecisionContext;

/** Knows whether this VM has read the control stream to its end, and since when. */
public final class CatchUpTracker {

  /**
   * Ends of reads that are needed after a pause. The first one may have been read before the pause
   * and only been taken in after it.
   */
  private static final int NEEDED_AFTER_PAUSE = 2;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Duration freshness;
  private int needed = 1;
  private boolean reachable = true;
  private long lastReadNanos = NEVER;
  private long currentSince = NEVER;
  private long wokenNanos = NEVER;
  private boolean everCurrent;

  /**
   * Creates a watch that has seen no read.
   *
   * @param freshness longest time since the last end of the stream was reached
   */
  public CatchUpTracker(Duration freshness) {
    this.freshness = freshness;
  }

  /** The end of the stream was reached. */
  public void caughtUp(DecisionContext turn) {
    boolean before = current(turn);
    needed = Math.max(0, needed - 1);
    reachable = true;
    lastReadNanos = turn.now();
    if (!before) {
      currentSince = turn.now();
    }
    everCurrent = everCurrent || needed == 0;
  }

  /** A read failed. */
  public void unreachable() {
    reachable = false;
  }

  /** The thread stood still. */
  public void paused(DecisionContext turn) {
    needed = NEEDED_AFTER_PAUSE;
    reachable = true;
    wokenNanos = turn.now();
  }

  /** Tells whether the state is that of the end of the stream, but for the last moments. */
  public boolean current(DecisionContext turn) {
    return needed == 0 && reachable && !turn.passed(lastReadNanos, freshness);
  }

  /** Tells whether the log cannot be read, as far as was seen since the last pause. */
  public boolean outage(DecisionContext turn) {
    return !reachable || turn.passed(Math.max(lastReadNanos, wokenNanos), freshness);
  }

  /** Tells whether the end of the stream was ever reached. */
  public boolean everCurrent() {
    return everCurrent;
  }

  /** Returns since when the state is that of the end of the stream. */
  public long currentSince() {
    return currentSince;
  }

  /** Returns when the end of the stream was reached last. */
  public long lastReadNanos() {
    return lastReadNanos;
  }
}
