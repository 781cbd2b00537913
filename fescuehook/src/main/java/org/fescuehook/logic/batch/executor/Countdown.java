package org.fescuehook.logic.batch.executor;

/** Runs an action once all its holds are released. */
public final class Countdown {

  private final Runnable action;
  private int holds = 1;

  /** Creates a countdown with one hold, which its creator releases by {@link #release()}. */
  public Countdown(Runnable action) {
    this.action = action;
  }

  /** Adds a hold. */
  public void hold() {
    holds++;
  }

  /** Releases one hold; the last release runs the action. */
  public void release() {
    holds--;
    if (holds == 0) {
      action.run();
    }
  }
}
