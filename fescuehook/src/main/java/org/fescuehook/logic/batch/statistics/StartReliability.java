package org.fescuehook.logic.batch.statistics;

/** How likely it is that runs succeed on an executor. */
public final class StartReliability {

  private final boolean enabled;

  /**
   * Creates statistics that know nothing yet.
   *
   * @param enabled whether anything is learned; otherwise all answers stay neutral
   */
  public StartReliability(boolean enabled) {
    this.enabled = enabled;
  }

  /** Returns whether anything is learned. */
  public boolean enabled() {
    return enabled;
  }
}
