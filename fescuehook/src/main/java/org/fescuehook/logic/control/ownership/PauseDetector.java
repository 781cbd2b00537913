package org.fescuehook.logic.control.ownership;

import java.time.Duration;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;

/** Detects by the gap between two events that the decision thread was suspended. */
public final class PauseDetector {
  private final Duration limit;
  private long lastNanos = Long.MIN_VALUE / 2;
  private boolean started;

  /**
   * Creates a detector.
   *
   * @param limit gap between two events that counts as a pause
   */
  public PauseDetector(Duration limit) {
    this.limit = limit;
  }

  /** Records the time of an event, and returns whether the thread was suspended before it. */
  public boolean wasPaused(DecisionContext context) {
    boolean paused = started && context.hasElapsed(lastNanos, limit);
    if (paused) {
      long millis = (context.nowNanos() - lastNanos) / 1_000_000;
      context.note(ControlLogEvent.WOKE_AFTER_PAUSE, millis);
      context.count("fescuehook.control.pauses");
    }
    started = true;
    lastNanos = context.nowNanos();
    return paused;
  }
}
