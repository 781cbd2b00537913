package org.fescuehook.logic.control.ownership;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.platform.MemberList;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.fleet.WorkerId;

/** Tracks the other entry VMs and the leaving workers, from heartbeats and from the member list. */
public final class PeerTracker {
  private final VmId self;
  private final Map<VmId, Long> appliedOffsets = new HashMap<>();
  private final Map<VmId, Long> lastSeenNanos = new HashMap<>();
  private Set<VmId> alive = Set.of();
  private Set<VmId> reachingLog = Set.of();
  private Set<VmId> listed = Set.of();
  private Set<VmId> leaving = Set.of();

  /** VMs whose last heartbeat said that they are stopping. */
  private final Set<VmId> stopping = new HashSet<>();

  private Set<WorkerId> leavingWorkers = Set.of();
  private boolean listFetched;
  private long lastPeerHeardNanos = Long.MIN_VALUE / 2;

  /** Creates a tracker that knows no peer. */
  public PeerTracker(VmId self) {
    this.self = self;
  }

  /** Updates which peers are heard, which of them reach the log, and which are draining. */
  public void heard(
      Set<VmId> alivePeers, Set<VmId> reaching, Set<VmId> draining, DecisionContext context) {
    alive = withoutSelf(alivePeers);
    stopping.removeAll(alive);
    stopping.addAll(withoutSelf(draining));
    reachingLog = withoutSelf(reaching);
    alive.forEach(vm -> lastSeenNanos.put(vm, context.nowNanos()));
    if (!alive.isEmpty()) {
      lastPeerHeardNanos = context.nowNanos();
    }
  }

  private Set<VmId> withoutSelf(Set<VmId> vms) {
    Set<VmId> others = new HashSet<>(vms);
    others.remove(self);
    return Set.copyOf(others);
  }

  /** Updates how far peers have applied the control stream. */
  public void peersApplied(Map<VmId, Long> nextOffsets) {
    appliedOffsets.putAll(nextOffsets);
    appliedOffsets.keySet().retainAll(lastSeenNanos.keySet());
  }

  /** Updates the members from a fetched member list. */
  public void listed(List<MemberList.Member> members, DecisionContext context) {
    listFetched = true;
    Set<VmId> entries = new HashSet<>();
    Set<VmId> leavingEntries = new HashSet<>();
    Set<WorkerId> workers = new HashSet<>();
    for (MemberList.Member member : members) {
      switch (member.role()) {
        case ENTRY -> {
          entries.add(new VmId(member.name()));
          if (member.leaving()) {
            leavingEntries.add(new VmId(member.name()));
          }
        }
        case WORKER -> {
          if (member.leaving()) {
            workers.add(new WorkerId(member.name()));
          }
        }
        case EXECUTOR -> {}
      }
    }
    forgetStoppedVms(entries);
    entries.forEach(vm -> lastSeenNanos.put(vm, context.nowNanos()));
    listed = Set.copyOf(entries);
    leaving = Set.copyOf(leavingEntries);
    leavingWorkers = Set.copyOf(workers);
  }

  /**
   * Forgets VMs that have stopped: those that are neither listed nor heard any more and were
   * leaving when last listed or stopping when last heard. Any other VM may still run without being
   * listed.
   */
  private void forgetStoppedVms(Set<VmId> entries) {
    Set<VmId> stopped = new HashSet<>(leaving);
    stopped.addAll(stopping);
    for (VmId vm : stopped) {
      if (!entries.contains(vm) && !alive.contains(vm)) {
        lastSeenNanos.remove(vm);
        stopping.remove(vm);
      }
    }
  }

  /** Returns whether other entry VMs are listed but none of them was heard for a time. */
  public boolean isolated(Duration time, DecisionContext context) {
    boolean others = listed.stream().anyMatch(vm -> !vm.equals(self));
    return others && context.hasElapsed(lastPeerHeardNanos, time);
  }

  /** Returns whether a peer is heard. */
  public boolean alive(VmId vm) {
    return alive.contains(vm);
  }

  /** Returns whether a peer is heard and reports that it reaches the log. */
  public boolean reachesLog(VmId vm) {
    return alive.contains(vm) && reachingLog.contains(vm);
  }

  /** Returns whether any peer that is heard reports that it reaches the log. */
  public boolean anyReachesLog() {
    return alive.stream().anyMatch(reachingLog::contains);
  }

  /** Returns the peers that are heard and this VM, ordered by name. */
  public TreeSet<VmId> present() {
    TreeSet<VmId> present = new TreeSet<>(alive);
    present.add(self);
    return present;
  }

  /** Returns the entry VMs that are listed or heard, and this VM, ordered by name. */
  public TreeSet<VmId> known() {
    TreeSet<VmId> known = present();
    known.addAll(listed);
    return known;
  }

  /** Returns whether an entry VM is listed as leaving. */
  public boolean leaving(VmId vm) {
    return leaving.contains(vm);
  }

  /** Returns the workers that are listed as leaving. */
  public Set<WorkerId> leavingWorkers() {
    return leavingWorkers;
  }

  /** Returns whether a VM is known to have applied the record at an offset. */
  public boolean hasApplied(VmId vm, long offset) {
    return vm.equals(self) || appliedOffsets.getOrDefault(vm, 0L) > offset;
  }

  /**
   * Returns whether every entry VM that may still run is known to have applied the record at an
   * offset. This corresponds to the variable {@code told} of the module SilentWorker.
   *
   * @param retention time for which a VM that vanished without leaving may still run
   */
  public boolean allApplied(long offset, Duration retention, DecisionContext context) {
    if (!listFetched) {
      return false;
    }
    for (VmId vm : known()) {
      if (!hasApplied(vm, offset)) {
        return false;
      }
    }
    for (Map.Entry<VmId, Long> seen : lastSeenNanos.entrySet()) {
      if (!context.hasElapsed(seen.getValue(), retention) && !hasApplied(seen.getKey(), offset)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the number of present VMs other than the owner that come before this VM by name. */
  public int rank(VmId owner) {
    int rank = 0;
    for (VmId vm : present()) {
      if (vm.equals(self)) {
        return rank;
      }
      if (!vm.equals(owner)) {
        rank++;
      }
    }
    return rank;
  }
}
