package org.fescuehook.logic.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.fescuehook.model.fleet.VmId;

/**
 * The last heartbeat of each peer, that is of each other entry VM. Immutable. Times are monotonic
 * nanoseconds.
 */
public final class PeerTable {

  /** The table without any heartbeat. */
  public static final PeerTable EMPTY = new PeerTable(Map.of());

  private final Map<VmId, LastHeartbeat> peers;

  private PeerTable(Map<VmId, LastHeartbeat> peers) {
    this.peers = peers;
  }

  /** Returns this table updated with a heartbeat. */
  public PeerTable withHeartbeat(PeerReport report, long nowNanos) {
    Map<VmId, LastHeartbeat> next = new HashMap<>(peers);
    next.put(report.vm(), new LastHeartbeat(report, nowNanos));
    return new PeerTable(Map.copyOf(next));
  }

  /** Returns this table without the peers whose last heartbeat is older than {@code limit}. */
  public PeerTable withoutSilent(Duration limit, long nowNanos) {
    Map<VmId, LastHeartbeat> next =
        peers.entrySet().stream()
            .filter(peer -> nowNanos - peer.getValue().atNanos <= limit.toNanos())
            .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
    return new PeerTable(next);
  }

  /** Returns the peers that sent a heartbeat within {@code timeout}. */
  public Set<VmId> alive(Duration timeout, long nowNanos) {
    return select(timeout, nowNanos, report -> true);
  }

  /** Returns the peers that sent a heartbeat within {@code timeout} and reach the log. */
  public Set<VmId> reachingLog(Duration timeout, long nowNanos) {
    return select(timeout, nowNanos, PeerReport::logReachable);
  }

  /** Returns the peers that sent a heartbeat within {@code timeout} and are stopping. */
  public Set<VmId> draining(Duration timeout, long nowNanos) {
    return select(timeout, nowNanos, PeerReport::draining);
  }

  /**
   * Returns, for each peer that sent a heartbeat within {@code timeout}, the offset up to which it
   * has applied the control stream.
   */
  public Map<VmId, Long> appliedOffsets(Duration timeout, long nowNanos) {
    return peers.values().stream()
        .filter(last -> nowNanos - last.atNanos <= timeout.toNanos())
        .map(LastHeartbeat::report)
        .collect(Collectors.toUnmodifiableMap(PeerReport::vm, PeerReport::controlNext));
  }

  /**
   * Returns the peer with the highest configuration revision above {@code revision} that sent a
   * heartbeat within {@code timeout}; empty if there is none.
   */
  public Optional<PeerReport> ahead(long revision, Duration timeout, long nowNanos) {
    Optional<PeerReport> best = Optional.empty();
    for (LastHeartbeat last : peers.values()) {
      long known = best.map(PeerReport::revision).orElse(revision);
      if (nowNanos - last.atNanos <= timeout.toNanos() && last.report.revision() > known) {
        best = Optional.of(last.report);
      }
    }
    return best;
  }

  private Set<VmId> select(Duration timeout, long nowNanos, Predicate<PeerReport> condition) {
    return peers.values().stream()
        .filter(last -> nowNanos - last.atNanos <= timeout.toNanos())
        .map(LastHeartbeat::report)
        .filter(condition)
        .map(PeerReport::vm)
        .collect(Collectors.toUnmodifiableSet());
  }

  private record LastHeartbeat(PeerReport report, long atNanos) {}
}
