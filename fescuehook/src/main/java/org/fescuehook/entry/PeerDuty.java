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
  private Optional<String> lastVerdict = Optional.of("starting");
  private Optional<VmId> lastAhead = Optional.empty();

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
    state.reviewPeers();
    Set<VmId> alive = state.alivePeers();
    Set<VmId> reachingLog = state.peersReachingLog();
    Set<VmId> draining = state.peersDraining();
    decisions.publish(new ControlEvent.PeersHeard(alive, reachingLog, draining));
    decisions.publish(new ControlEvent.PeersFolded(state.foldedByPeers()));
    fetchConfiguration();
    reviewReadiness();
    return interval;
  }

  /** Asks a peer that has been ahead for two rounds; the log is usually faster. */
  private void fetchConfiguration() {
    Optional<VmId> ahead = state.ahead().map(PeerReport::vm);
    if (ahead.isPresent() && lastAhead.isPresent()) {
      links.askConfiguration(ahead.get(), configuration.revision() + 1);
    }
    lastAhead = ahead;
  }

  private void reviewReadiness() {
    Optional<String> verdict = state.unfit();
    if (verdict.equals(lastVerdict)) {
      return;
    }
    lastVerdict = verdict;
    if (verdict.isPresent()) {
      EventLog.info(LOGGER, EntryEvent.NOT_READY, verdict.get());
      state.opened(false);
      requests.ready(false, RefusalReason.NOT_READY);
      return;
    }
    EventLog.info(LOGGER, EntryEvent.READY);
    requests.ready(true, RefusalReason.NOT_READY);
    // Only now: a balancer that sees readiness may send at once.
    state.opened(true);
  }
}
