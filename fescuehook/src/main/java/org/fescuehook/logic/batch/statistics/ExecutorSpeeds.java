package org.fescuehook.logic.batch.statistics;

/** Speeds of the executors, learned from the progress of their runs. */
public final class ExecutorSpeeds {

  private final boolean enabled;

  /**
   * Creates statistics that know nothing yet.
   *
   * @param enabled whether anything is learned; otherwise all answers stay neutral
   */
  public ExecutorSpeeds(boolean enabled) {
    this.enabled = enabled;
  }

  /** Returns whether anything is learned. */
  public boolean enabled() {
    return enabled;
  }
}
