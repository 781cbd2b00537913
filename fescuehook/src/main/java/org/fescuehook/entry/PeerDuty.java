package org.fescuehook.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.membership.PeerReport;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.net.caller.RequestPath;
import org.fescuehook.net.peer.PeerLinks;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The duty of the thread {@code peers}: sends heartbeats, tracks the peers and updates the
 * readiness of this VM.
 */
final class PeerDuty {

  private static final Logger LOGGER = LoggerFactory.getLogger(PeerDuty.class);

  private final PeerLinks links;
  private final VmState state;
  private final ConfigurationKeeper configuration;
  private final DecisionRing decisions;
  private final RequestPath requests;
  private final Duration interval;
  private Optional<String> lastReason = Optional.of("starting");
  private Optional<VmId> previousPeerAhead = Optional.empty();

  PeerDuty(
      PeerLinks links,
      VmState state,
      ConfigurationKeeper configuration,
      DecisionRing decisions,
      RequestPath requests,
      Duration interval) {
    this.links = links;
    this.state = state;
    this.configuration = configuration;
    this.decisions = decisions;
    this.requests = requests;
    this.interval = interval;
  }

  /** Performs one round and returns the delay before the next one. */
  Duration step() {
    links.heartbeat();
    state.updatePeers();
    Set<VmId> alive = state.alivePeers();
    Set<VmId> reachingLog = state.peersReachingLog();
    Set<VmId> draining = state.peersDraining();
    decisions.publish(new ControlEvent.PeersHeard(alive, reachingLog, draining));
    decisions.publish(new ControlEvent.PeersFolded(state.controlNextByPeer()));
    fetchConfiguration();
    updateReadiness();
    return interval;
  }

  /**
   * Requests the configuration of a peer if a newer one was known in the previous round too.
   * Usually the log delivers it sooner.
   */
  private void fetchConfiguration() {
    Optional<VmId> peerAhead = state.peerWithNewerConfiguration().map(PeerReport::vm);
    if (peerAhead.isPresent() && previousPeerAhead.isPresent()) {
      links.askConfiguration(peerAhead.get(), configuration.revision() + 1);
    }
    previousPeerAhead = peerAhead;
  }

  private void updateReadiness() {
    Optional<String> reason = state.unfitReason();
    if (reason.equals(lastReason)) {
      return;
    }
    lastReason = reason;
    if (reason.isPresent()) {
      EventLog.info(LOGGER, EntryEvent.NOT_READY, reason.get());
      state.setOpen(false);
      requests.ready(false, RefusalReason.NOT_READY);
      return;
    }
    EventLog.info(LOGGER, EntryEvent.READY);
    requests.ready(true, RefusalReason.NOT_READY);
    // Set last, as a load balancer may send requests as soon as it sees that this VM is ready.
    state.setOpen(true);
  }
}
