package org.fescuehook.logic.control.ownership;

import java.time.Duration;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;

/** Notices that the decision thread stood still, by the gap between two events. */
public final class PauseDetector {
  private final Duration limit;
  private long lastNanos = Long.MIN_VALUE / 2;
  private boolean started;

  /**
   * Creates a watch.
   *
   * @param limit gap between two events that counts as a pause
   */
  public PauseDetector(Duration limit) {
    this.limit = limit;
  }

  /** Takes in the time of an event; tells whether a pause lies before it. */
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
