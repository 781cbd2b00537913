package org.fescuehook.model.configuration;

import java.time.Duration;

/**
 * Declared weights and bounds of the scheduling policy.
 *
 * @param fragmentationWeight weight of low fragmentation against low completion time, 0 to 1
 * @param reclaimBound maximum time from the demand of a guarantee's holder until its guaranteed
 *     shape is free
 * @param checkpointNotice time that a borrower gets to write a checkpoint before it is stopped
 * @param urgentStartBound maximum time from the submission of an urgent job to its start
 * @param maxWait waiting time after which a job that can run is placed before all others
 * @param maxAttempts number of failed attempts after which a job is not retried any more
 */
public record PolicyPreferences(
    double fragmentationWeight,
    Duration reclaimBound,
    Duration checkpointNotice,
    Duration urgentStartBound,
    Duration maxWait,
    int maxAttempts) {

  /** Values that apply if nothing is declared. */
  public static final PolicyPreferences DEFAULT =
      new PolicyPreferences(
          0.5,
          Duration.ofSeconds(60),
          Duration.ofSeconds(30),
          Duration.ofMillis(3600),
          Duration.ofHours(24),
          3);
}
