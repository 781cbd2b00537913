package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * Intervals and timeouts of ownership, leases and the control stream.
 *
 * @param ownerHeartbeat interval between the owner's heartbeat records
 * @param ownerTimeout time without a heartbeat of the owner after which a standby VM claims
 *     ownership
 * @param claimStagger time that is added to the timeout once for each rank of the standby VM
 * @param leaseTtl duration for which a lease on a worker is requested and renewed
 * @param renewInterval interval between renewals of a lease
 * @param grantTimeout time after which a planned attempt that has not got all its leases is ended
 * @param snapshotInterval interval between snapshots of the control stream
 * @param tick interval between the tick events of the decision thread
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

  /** Values that apply if nothing is set. */
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
