package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * Times of membership, logging on to peers, and stopping.
 *
 * @param listInterval interval between fetches of the list of VMs
 * @param peerHeartbeat interval between heartbeats to each peer
 * @param peerTimeout silence after which a peer counts as gone
 * @param staleAfter time without contact to the log and without a peer that has it, after which
 *     this VM is no longer ready
 * @param drainDelay time between turning unready and closing the service port, so that the balancer
 *     notices
 * @param drainLimit longest time for answering what is in flight at a stop
 */
public record MembershipPreferences(
    Duration listInterval,
    Duration peerHeartbeat,
    Duration peerTimeout,
    Duration staleAfter,
    Duration drainDelay,
    Duration drainLimit) {

  /** Values in force where nothing is set. */
  public static final MembershipPreferences DEFAULT =
      new MembershipPreferences(
          Duration.ofSeconds(1),
          Duration.ofMillis(500),
          Duration.ofSeconds(2),
          Duration.ofSeconds(10),
          Duration.ofSeconds(3),
          Duration.ofSeconds(60));
}
