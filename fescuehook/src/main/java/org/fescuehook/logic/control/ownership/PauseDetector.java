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
  public boolean wasPaused(DecisionContext turn) {
    boolean paused = started && turn.passed(lastNanos, limit);
    if (paused) {
      long millis = (turn.now() - lastNanos) / 1_000_000;
      turn.note(ControlLogEvent.WOKE_AFTER_PAUSE, millis);
      turn.count("fescuehook.control.pauses");
    }
    started = true;
    lastNanos = turn.now();
    return paused;
  }
}
