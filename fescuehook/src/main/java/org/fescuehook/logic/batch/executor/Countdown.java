package org.fescuehook.logic.batch.executor;

/** Runs an action once everything that it was told to wait for has happened. */
public final class Countdown {

  private final Runnable action;
  private int held = 1;

  /** Creates a countdown that waits for one {@link #release()}, that of its creator. */
  public Countdown(Runnable action) {
    this.action = action;
  }

  /** Waits for one more release. */
  public void hold() {
    held++;
  }

  /** Releases one; the last one runs the action. */
  public void release() {
    held--;
    if (held == 0) {
      action.run();
    }
  }
}
