package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * How work behaves on the executors, and until when guaranteed work has to run, as agreed with
 * their operators.
 *
 * @param checkpointInterval work between two checkpoints
 * @param restoreTime time that work takes to go on from a checkpoint
 * @param stopTime longest time that a stop takes
 * @param reclaimBound time from its acceptance in which a job that a guarantee covers has begun
 */
public record WorkPreferences(
    Duration checkpointInterval, Duration restoreTime, Duration stopTime, Duration reclaimBound) {

  private static final double MILLIS_PER_SECOND = 1000;

  /** Returns the work that a stop throws away on average where progress is saved, in seconds. */
  public double unsavedSeconds() {
    return checkpointInterval.toMillis() / MILLIS_PER_SECOND / 2;
  }

  /** Returns the time to go on from a checkpoint, in seconds. */
  public double restoreSeconds() {
    return restoreTime.toMillis() / MILLIS_PER_SECOND;
  }
}
