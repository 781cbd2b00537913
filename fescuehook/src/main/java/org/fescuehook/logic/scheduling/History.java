package org.fescuehook.logic.scheduling;

import org.fescuehook.model.job.Job;

/**
 * What was learned from ended attempts: corrections of declared run times and use by organisation.
 * Immutable.
 */
public final class History {

  /** Nothing learned yet. */
  public static final History EMPTY = new History();

  private History() {}

  /**
   * Returns the history after an attempt ended.
   *
   * @param ranSeconds how long it ran
   * @param finished whether the job finished with it
   */
  public History afterAttempt(Job job, long ranSeconds, boolean finished, long nowMillis) {
    return this;
  }
}
