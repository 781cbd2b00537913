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

/** What this VM knows of the other entry VMs and of leaving workers, by heartbeats and the list. */
public final class PeerTracker {
  private final VmId self;
  private final Map<VmId, Long> folded = new HashMap<>();
  private final Map<VmId, Long> lastSeen = new HashMap<>();
  private Set<VmId> alive = Set.of();
  private Set<VmId> reachingLog = Set.of();
  private Set<VmId> listed = Set.of();
  private Set<VmId> leaving = Set.of();

  /** VMs that said in their last heartbeat that they are stopping. */
  private final Set<VmId> stopping = new HashSet<>();

  private Set<WorkerId> leavingWorkers = Set.of();
  private boolean listFetched;
  private long lastPeerHeardNanos = Long.MIN_VALUE / 2;

  /** Creates a watch that has heard nothing. */
  public PeerTracker(VmId self) {
    this.self = self;
  }

  /** Takes in which peers are heard. */
  public void heard(
      Set<VmId> alivePeers, Set<VmId> reaching, Set<VmId> draining, DecisionContext context) {
    alive = withoutSelf(alivePeers);
    stopping.removeAll(alive);
    stopping.addAll(withoutSelf(draining));
    reachingLog = withoutSelf(reaching);
    alive.forEach(vm -> lastSeen.put(vm, context.nowNanos()));
    if (!alive.isEmpty()) {
      lastPeerHeardNanos = context.nowNanos();
    }
  }

  private Set<VmId> withoutSelf(Set<VmId> vms) {
    Set<VmId> others = new HashSet<>(vms);
    others.remove(self);
    return Set.copyOf(others);
  }

  /** Takes in how far peers have folded the stream. */
  public void folded(Map<VmId, Long> nextOffsets) {
    folded.putAll(nextOffsets);
    folded.keySet().retainAll(lastSeen.keySet());
  }

  /** Takes in the list of VMs. */
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
    entries.forEach(vm -> lastSeen.put(vm, context.nowNanos()));
    listed = Set.copyOf(entries);
    leaving = Set.copyOf(leavingEntries);
    leavingWorkers = Set.copyOf(workers);
  }

  /**
   * A VM that was leaving when it was last listed, or that was stopping when it was last heard, has
   * stopped; any other may live on unlisted.
   */
  private void forgetStoppedVms(Set<VmId> entries) {
    Set<VmId> stopped = new HashSet<>(leaving);
    stopped.addAll(stopping);
    for (VmId vm : stopped) {
      if (!entries.contains(vm) && !alive.contains(vm)) {
        lastSeen.remove(vm);
        stopping.remove(vm);
      }
    }
  }

  /** Tells whether other entry VMs are listed and none was heard for a time. */
  public boolean isolated(Duration time, DecisionContext context) {
    boolean others = listed.stream().anyMatch(vm -> !vm.equals(self));
    return others && context.hasElapsed(lastPeerHeardNanos, time);
  }

  /** Tells whether a peer is heard. */
  public boolean alive(VmId vm) {
    return alive.contains(vm);
  }

  /** Tells whether a peer is heard and says that it reaches the log. */
  public boolean reachesLog(VmId vm) {
    return alive.contains(vm) && reachingLog.contains(vm);
  }

  /** Tells whether any peer heard says that it reaches the log. */
  public boolean anyReachesLog() {
    return alive.stream().anyMatch(reachingLog::contains);
  }

  /** Returns the peers heard and this VM, in the order of their names. */
  public TreeSet<VmId> present() {
    TreeSet<VmId> present = new TreeSet<>(alive);
    present.add(self);
    return present;
  }

  /** Returns the entry VMs that are listed or heard, and this one, in the order of names. */
  public TreeSet<VmId> known() {
    TreeSet<VmId> known = present();
    known.addAll(listed);
    return known;
  }

  /** Tells whether an entry VM is listed as leaving. */
  public boolean leaving(VmId vm) {
    return leaving.contains(vm);
  }

  /** Returns workers that are listed as leaving. */
  public Set<WorkerId> leavingWorkers() {
    return leavingWorkers;
  }

  /** Tells whether a peer is known to have folded the record at an offset. */
  public boolean hasFolded(VmId vm, long offset) {
    return vm.equals(self) || folded.getOrDefault(vm, 0L) > offset;
  }

  /**
   * Tells whether every entry VM that may exist is known to have folded the record at an offset.
   *
   * @param memory time for which a VM that vanished without leaving may live on
   */
  public boolean allFolded(long offset, Duration retention, DecisionContext context) {
    if (!listFetched) {
      return false;
    }
    for (VmId vm : known()) {
      if (!hasFolded(vm, offset)) {
        return false;
      }
    }
    for (Map.Entry<VmId, Long> seen : lastSeen.entrySet()) {
      if (!context.hasElapsed(seen.getValue(), retention) && !hasFolded(seen.getKey(), offset)) {
        return false;
      }
    }
    return true;
  }

  /** Returns how many present VMs other than the owner come before this one. */
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
