package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * Intervals and timeouts of membership, heartbeats to peers, and graceful stopping.
 *
 * @param listInterval interval between fetches of the list of VMs
 * @param peerHeartbeat interval between heartbeats to each peer
 * @param peerTimeout time without a heartbeat after which a peer is considered gone
 * @param staleAfter time without contact to the log and to peers after which this VM is no longer
 *     ready
 * @param drainDelay time between becoming unready and closing the service port, so that the load
 *     balancer notices
 * @param drainLimit maximum time for answering the requests in flight when the VM stops
 */
public record MembershipPreferences(
    Duration listInterval,
    Duration peerHeartbeat,
    Duration peerTimeout,
    Duration staleAfter,
    Duration drainDelay,
    Duration drainLimit) {

  /** Values that apply if nothing is set. */
  public static final MembershipPreferences DEFAULT =
      new MembershipPreferences(
          Duration.ofSeconds(1),
          Duration.ofMillis(500),
          Duration.ofSeconds(2),
          Duration.ofSeconds(10),
          Duration.ofSeconds(3),
          Duration.ofSeconds(60));
}
