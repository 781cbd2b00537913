package org.fescuehook.entry;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.fescuehook.logic.membership.PeerReport;
import org.fescuehook.logic.membership.PeerTable;
import org.fescuehook.logic.membership.Readiness;
import org.fescuehook.logic.membership.Readiness.NotReady;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.MembershipPreferences;
import org.fescuehook.wire.SlotShares;

/**
 * What the threads of this VM know of its contact to the log and to peers. Each field has one
 * writing thread, but for the table of peers.
 */
final class VmState {

  private final VmId self;
  private final MembershipPreferences preferences;
  private final Readiness readiness;
  private final ConfigurationKeeper configuration;
  private final AtomicReference<PeerTable> peers = new AtomicReference<>(PeerTable.EMPTY);
  private volatile OptionalLong logContactNanos = OptionalLong.empty();
  private volatile OptionalLong peerContactNanos = OptionalLong.empty();
  private volatile OptionalLong behindSinceNanos = OptionalLong.empty();
  private volatile boolean logReachable;
  private volatile boolean caughtUp;
  private volatile boolean draining;
  private volatile boolean halted;
  private volatile boolean hasSlots;
  private volatile boolean open;
  private volatile long controlNext;

  VmState(VmId self, MembershipPreferences preferences, ConfigurationKeeper configuration) {
    this.self = self;
    this.preferences = preferences;
    this.readiness = new Readiness(preferences.staleAfter());
    this.configuration = configuration;
  }

  /** Takes the result of a read of the control stream. */
  void recordLogRead(boolean succeeded) {
    if (succeeded) {
      logContactNanos = OptionalLong.of(System.nanoTime());
    }
    logReachable = succeeded;
  }

  /** Takes a heartbeat. */
  void recordHeartbeat(PeerReport report) {
    long now = System.nanoTime();
    peers.updateAndGet(table -> table.heard(report, now));
    peerContactNanos = OptionalLong.of(now);
  }

  /** Forgets peers that were silent for long and notes whether one has a newer configuration. */
  void updatePeers() {
    long now = System.nanoTime();
    Duration keep = preferences.peerTimeout().multipliedBy(10);
    peers.updateAndGet(table -> table.withoutSilent(keep, now));
    if (peerWithNewerConfiguration().isEmpty()) {
      behindSinceNanos = OptionalLong.empty();
    } else if (behindSinceNanos.isEmpty()) {
      behindSinceNanos = OptionalLong.of(now);
    }
  }

  /** Takes the offset after the last folded record of the control stream. */
  void setControlNext(long next) {
    controlNext = next;
  }

  /** Takes the shares of executors' slots in force. */
  void setShares(SlotShares shares) {
    hasSlots =
        shares.getSharesList().stream()
            .anyMatch(share -> share.getVm().equals(self.value()) && share.getSlots() > 0);
  }

  /** Notes that the end of the control stream was reached. */
  void setCaughtUp() {
    caughtUp = true;
  }

  /** Notes that the graceful stop began. */
  void setDraining() {
    draining = true;
  }

  /** Notes whether the service port takes requests and jobs. */
  void setOpen(boolean opened) {
    open = opened;
  }

  /** Notes that this VM decides nothing any more. */
  void setHalted() {
    halted = true;
  }

  /** Returns a peer that has a newer configuration. */
  Optional<PeerReport> peerWithNewerConfiguration() {
    return peers
        .get()
        .ahead(configuration.revision(), preferences.peerTimeout(), System.nanoTime());
  }

  /** Returns the peers heard within their timeout. */
  Set<VmId> alivePeers() {
    return peers.get().alive(preferences.peerTimeout(), System.nanoTime());
  }

  /** Returns the peers heard within their timeout that reach the log. */
  Set<VmId> peersReachingLog() {
    return peers.get().reachingLog(preferences.peerTimeout(), System.nanoTime());
  }

  /** Returns the peers heard within their timeout that are stopping. */
  Set<VmId> peersDraining() {
    return peers.get().draining(preferences.peerTimeout(), System.nanoTime());
  }

  /** Returns how far the peers heard within their timeout have folded the control stream. */
  Map<VmId, Long> controlNextByPeer() {
    return peers.get().folded(preferences.peerTimeout(), System.nanoTime());
  }

  /** Tells whether the last read of the control stream succeeded. */
  boolean logReachable() {
    return logReachable;
  }

  /** Tells whether the graceful stop began. */
  boolean draining() {
    return draining;
  }

  /** Returns the offset after the last folded record of the control stream. */
  long controlNext() {
    return controlNext;
  }

  /** Returns why a balancer should send nothing here, as the word used on the wire. */
  Optional<String> notReady() {
    if (draining) {
      return Optional.of(NotReady.DRAINING.slug());
    }
    Optional<String> unfitReason = unfitReason();
    return unfitReason.isEmpty() && !open ? Optional.of(NotReady.OPENING.slug()) : unfitReason;
  }

  /**
   * Returns why this VM cannot do work that it receives. A VM that began its graceful stop still
   * can, until its service port is closed.
   */
  Optional<String> unfitReason() {
    if (halted) {
      return Optional.of(NotReady.DECISIONS_HALTED.slug());
    }
    Readiness.Inputs inputs =
        new Readiness.Inputs(
            configuration.current().isPresent(),
            hasSlots || !executorsDeclared(),
            caughtUp,
            logContactNanos,
            peerContactNanos,
            behindSinceNanos);
    return readiness.judge(inputs, System.nanoTime()).map(NotReady::slug);
  }

  private boolean executorsDeclared() {
    return configuration
        .current()
        .map(current -> !current.declarations().fleet().executors().isEmpty())
        .orElse(false);
  }
}
