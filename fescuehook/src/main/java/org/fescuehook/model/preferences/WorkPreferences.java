package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * Timing of tasks on the executors, and the time within which guaranteed jobs have to start, as
 * agreed with the operators of the executors.
 *
 * @param checkpointInterval work that a task does between two checkpoints
 * @param restoreTime time that a task takes to resume from a checkpoint
 * @param stopTime maximum time that stopping a task takes
 * @param gangTimeout time that a member of a gang waits on its executor for the others
 * @param reclaimBound time from acceptance within which a job that a guarantee covers has to start
 */
public record WorkPreferences(
    Duration checkpointInterval,
    Duration restoreTime,
    Duration stopTime,
    Duration gangTimeout,
    Duration reclaimBound) {

  private static final double MILLIS_PER_SECOND = 1000;

  /**
   * Returns the average work in seconds that is lost when a task with checkpoints is stopped: half
   * of the checkpoint interval.
   */
  public double unsavedSeconds() {
    return checkpointInterval.toMillis() / MILLIS_PER_SECOND / 2;
  }

  /** Returns the time to resume from a checkpoint, in seconds. */
  public double restoreSeconds() {
    return restoreTime.toMillis() / MILLIS_PER_SECOND;
  }
}
