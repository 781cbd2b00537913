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
 * State of this VM that its threads share, such as its contact to the log and to peers. Each field
 * is written by one thread only, except for the table of peers.
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

  /** Records whether a read of the control stream succeeded. */
  void recordLogRead(boolean succeeded) {
    if (succeeded) {
      logContactNanos = OptionalLong.of(System.nanoTime());
    }
    logReachable = succeeded;
  }

  /** Records a peer's heartbeat. */
  void recordHeartbeat(PeerReport report) {
    long now = System.nanoTime();
    peers.updateAndGet(table -> table.withHeartbeat(report, now));
    peerContactNanos = OptionalLong.of(now);
  }

  /**
   * Removes peers that have been silent for ten timeouts, and records since when a peer has had a
   * newer configuration.
   */
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

  /** Sets the offset after the last applied record of the control stream. */
  void setControlNext(long next) {
    controlNext = next;
  }

  /** Records whether the current shares assign slots of executors to this VM. */
  void setShares(SlotShares shares) {
    hasSlots =
        shares.getSharesList().stream()
            .anyMatch(share -> share.getVm().equals(self.value()) && share.getSlots() > 0);
  }

  /** Records that the end of the control stream has been reached. */
  void setCaughtUp() {
    caughtUp = true;
  }

  /** Records that the graceful stop has begun. */
  void setDraining() {
    draining = true;
  }

  /** Sets whether the service port accepts requests and jobs. */
  void setOpen(boolean opened) {
    open = opened;
  }

  /** Records that this VM makes no decisions until it is restarted. */
  void setHalted() {
    halted = true;
  }

  /** Returns a peer that has a newer configuration, if any. */
  Optional<PeerReport> peerWithNewerConfiguration() {
    return peers
        .get()
        .ahead(configuration.revision(), preferences.peerTimeout(), System.nanoTime());
  }

  /** Returns the peers whose last heartbeat is within the timeout. */
  Set<VmId> alivePeers() {
    return peers.get().alive(preferences.peerTimeout(), System.nanoTime());
  }

  /** Returns the alive peers that can reach the log. */
  Set<VmId> peersReachingLog() {
    return peers.get().reachingLog(preferences.peerTimeout(), System.nanoTime());
  }

  /** Returns the alive peers that are stopping. */
  Set<VmId> peersDraining() {
    return peers.get().draining(preferences.peerTimeout(), System.nanoTime());
  }

  /**
   * Returns for each alive peer the offset after the last record of the control stream that it has
   * applied.
   */
  Map<VmId, Long> controlNextByPeer() {
    return peers.get().appliedOffsets(preferences.peerTimeout(), System.nanoTime());
  }

  /** Returns whether the last read of the control stream succeeded. */
  boolean logReachable() {
    return logReachable;
  }

  /** Returns whether the graceful stop has begun. */
  boolean draining() {
    return draining;
  }

  /** Returns the offset after the last applied record of the control stream. */
  long controlNext() {
    return controlNext;
  }

  /**
   * Returns why a load balancer should not send requests to this VM, as the word used on the wire;
   * absent if this VM is ready.
   */
  Optional<String> notReady() {
    if (draining) {
      return Optional.of(NotReady.DRAINING.slug());
    }
    Optional<String> unfitReason = unfitReason();
    return unfitReason.isEmpty() && !open ? Optional.of(NotReady.OPENING.slug()) : unfitReason;
  }

  /**
   * Returns why this VM cannot process the work it receives; absent if it can. A VM that has begun
   * its graceful stop still can, until its service port is closed.
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
    return readiness.evaluate(inputs, System.nanoTime()).map(NotReady::slug);
  }

  private boolean executorsDeclared() {
    return configuration
        .current()
        .map(current -> !current.declarations().fleet().executors().isEmpty())
        .orElse(false);
  }
}
