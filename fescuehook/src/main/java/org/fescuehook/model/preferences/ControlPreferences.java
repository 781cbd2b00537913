package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * Times and limits of ownership, leases and records.
 *
 * @param ownerHeartbeat interval between the owner's heartbeat records
 * @param ownerTimeout silence of the owner after which a stand-by claims
 * @param claimStagger added to the timeout for each rank of the stand-by
 * @param leaseTtl time for which a worker's lease is asked and renewed
 * @param renewInterval interval between renewals of a lease
 * @param grantTimeout time after which a planned attempt without all its leases is ended
 * @param snapshotInterval interval between snapshots of the control stream
 * @param tick interval between ticks of the decision thread
 */
public record ControlPreferences(
    Duration ownerHeartbeat,
    Duration ownerTimeout,
    Duration claimStagger,
    Duration leaseTtl,
    Duration renewInterval,
    Duration grantTimeout,
    Duration snapshotInterval,
    Duration tick) {

  /** Values in force where nothing is set. */
  public static final ControlPreferences DEFAULT =
      new ControlPreferences(
          Duration.ofMillis(500),
          Duration.ofMillis(1500),
          Duration.ofMillis(300),
          Duration.ofSeconds(30),
          Duration.ofSeconds(8),
          Duration.ofSeconds(2),
          Duration.ofMinutes(10),
          Duration.ofMillis(50));
}
