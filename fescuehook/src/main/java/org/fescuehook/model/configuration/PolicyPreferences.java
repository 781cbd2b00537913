package org.fescuehook.model.configuration;

import java.time.Duration;

/**
 * Declared weights and bounds of the scheduling policy.
 *
 * @param fragmentationWeight weight of low fragmentation against low completion time, 0 to 1
 * @param reclaimBound longest time from a holder's demand to its guaranteed shape being free
 * @param checkpointNotice time that a borrower has for its checkpoint before it is stopped
 * @param urgentStartBound longest time from submission to start of an urgent job
 * @param maxWait wait after which a job that can run is placed before all others
 * @param maxAttempts failed attempts after which a job is given up
 */
public record PolicyPreferences(
    double fragmentationWeight,
    Duration reclaimBound,
    Duration checkpointNotice,
    Duration urgentStartBound,
    Duration maxWait,
    int maxAttempts) {

  /** Values in force where nothing is declared. */
  public static final PolicyPreferences DEFAULT =
      new PolicyPreferences(
          0.5,
          Duration.ofSeconds(60),
          Duration.ofSeconds(30),
          Duration.ofMillis(3600),
          Duration.ofHours(24),
          3);
}
