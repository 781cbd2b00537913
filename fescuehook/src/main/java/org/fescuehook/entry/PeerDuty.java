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

/** Work of the thread {@code peers}: heartbeats, contact with peers, readiness. */
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

  /** Does one round and returns the pause before the next. */
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

  /** Asks a peer that has been ahead for two rounds; the log is usually faster. */
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
    // Only now: a balancer that sees readiness may send at once.
    state.setOpen(true);
  }
}
