package org.fescuehook.net.peer;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.fescuehook.logic.dispatch.OutcomeFetcher;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.PeerMessage;
import org.fescuehook.wire.RequestKey;

/** Maintains the links to all other entry VMs on the list of VMs. */
public final class PeerLinks implements OutcomeFetcher {

  private final EventLoopGroup loops;
  private final PeerMessage hello;
  private final Duration timeout;
  private final PeerListener listener;
  private final Map<VmId, PeerLink> links = new ConcurrentHashMap<>();

  /**
   * Creates the links; none is open yet.
   *
   * @param timeout time without an answer after which a link is reopened and a query expires
   */
  public PeerLinks(
      EventLoopGroup loops,
      IdentityPreferences identity,
      String incarnation,
      Duration timeout,
      PeerListener listener) {
    this.loops = loops;
    this.hello = PeerPipeline.hello(identity, incarnation);
    this.timeout = timeout;
    this.listener = listener;
  }

  /** Opens links to the given peers and closes the links to all others. */
  public void retain(Map<VmId, InetSocketAddress> peers) {
    peers.forEach(this::retain);
    for (VmId known : links.keySet()) {
      if (!peers.containsKey(known)) {
        Optional.ofNullable(links.remove(known)).ifPresent(PeerLink::close);
      }
    }
  }

  /** Sends a heartbeat to each peer, and opens the links that are down. */
  public void heartbeat() {
    links.values().forEach(PeerLink::heartbeat);
  }

  /** Requests a peer's configuration if its revision plus one is greater than the given number. */
  public void askConfiguration(VmId peer, long aboveRevisionPlusOne) {
    Optional.ofNullable(links.get(peer))
        .ifPresent(link -> link.askConfiguration(aboveRevisionPlusOne));
  }

  @Override
  public void fetch(VmId claimant, RequestKey key, Consumer<Optional<OutcomeReply>> sink) {
    PeerLink link = links.get(claimant);
    if (link == null) {
      sink.accept(Optional.empty());
      return;
    }
    link.askOutcome(key, sink);
  }

  /** Closes all links. */
  public void close() {
    links.values().forEach(PeerLink::close);
    links.clear();
  }

  private void retain(VmId peer, InetSocketAddress address) {
    PeerLink known = links.get(peer);
    if (known != null && known.address().equals(address)) {
      return;
    }
    links.put(peer, new PeerLink(loops.next(), peer, address, hello, timeout, listener));
    if (known != null) {
      known.close();
    }
  }
}
