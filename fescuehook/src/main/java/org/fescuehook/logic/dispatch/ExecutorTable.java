package org.fescuehook.logic.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.SlotShare;
import org.fescuehook.wire.SlotShares;

/** The executors as this VM sees them: shares, load, health. Chooses one for a request. */
final class ExecutorTable {
  /** Largest share of the executors that may be ejected at once. */
  static final double EJECTION_CAP = 0.5;

  /** Load by which an executor in another failure domain has to be better. */
  private static final double OTHER_DOMAIN_PENALTY = 0.5;

  /** One in so many slots is kept for urgent requests. */
  private static final int URGENT_SHARE = 8;

  private final VmId vm;
  private final FailureDomain domain;
  private final Map<ExecutorId, Entry> entries = new HashMap<>();
  private Map<ExecutorId, SlotShare> shares = Map.of();
  private Set<ExecutorId> leaving = Set.of();
  private boolean shared;
  private int turn;

  ExecutorTable(VmId vm, FailureDomain domain) {
    this.vm = vm;
    this.domain = domain;
  }

  /** Takes the declared executors; what is known of those that stay is kept. */
  void configure(List<Executor> executors, long nowMillis) {
    Set<ExecutorId> declared = new HashSet<>();
    for (Executor executor : executors) {
      declared.add(executor.id());
      Entry entry = entries.computeIfAbsent(executor.id(), id -> new Entry());
      entry.declared = Optional.of(executor);
      announce(executor.id(), entry, nowMillis, 0);
    }
    entries.forEach(
        (id, entry) -> {
          if (!declared.contains(id)) {
            entry.declared = Optional.empty();
          }
        });
    entries.values().removeIf(entry -> entry.declared.isEmpty() && entry.inUse == 0);
  }

  /** Takes shares of slots. */
  void share(SlotShares announced, long nowMillis) {
    Map<ExecutorId, SlotShare> own = new HashMap<>();
    for (SlotShare share : announced.getSharesList()) {
      if (share.getVm().equals(vm.value())) {
        own.put(new ExecutorId(share.getExecutor()), share);
      }
    }
    shares = Map.copyOf(own);
    long settleMillis = announced.getSettleMillis();
    entries.forEach((id, entry) -> announce(id, entry, nowMillis, settleMillis));
    shared = true;
  }

  private void announce(ExecutorId id, Entry entry, long nowMillis, long settleMillis) {
    Optional<SlotShare> own = Optional.ofNullable(shares.get(id));
    entry.share.announce(own.map(s -> s.getSlots()).orElse(0), nowMillis, settleMillis);
    entry.connections.announce(own.map(s -> s.getConnections()).orElse(0), nowMillis, settleMillis);
  }

  /** Tells whether shares were ever announced. */
  boolean shared() {
    return shared;
  }

  void leaving(Set<ExecutorId> executors) {
    leaving = Set.copyOf(executors);
  }

  /**
   * Chooses the executor for a request and takes a slot of it.
   *
   * @param tried executors that are taken only if no other can be used at all
   */
  Optional<ExecutorId> take(boolean urgent, Collection<ExecutorId> tried, long nowMillis) {
    if (!hasFree(urgent, nowMillis)) {
      return Optional.empty();
    }
    Collection<ExecutorId> excluded = othersUsable(tried, nowMillis) ? tried : List.of();
    Optional<ExecutorId> best = choose(excluded, nowMillis);
    best.ifPresent(id -> entries.get(id).inUse++);
    return best;
  }

  private boolean othersUsable(Collection<ExecutorId> tried, long nowMillis) {
    for (Map.Entry<ExecutorId, Entry> entry : entries.entrySet()) {
      boolean other = !tried.contains(entry.getKey());
      if (other && usableSlots(entry.getKey(), entry.getValue(), nowMillis) > 0) {
        return true;
      }
    }
    return false;
  }

  private Optional<ExecutorId> choose(Collection<ExecutorId> excluded, long nowMillis) {
    Optional<ExecutorId> best = Optional.empty();
    double bestScore = Double.MAX_VALUE;
    turn++;
    for (Map.Entry<ExecutorId, Entry> candidate : entries.entrySet()) {
      Entry entry = candidate.getValue();
      int slots = usableSlots(candidate.getKey(), entry, nowMillis);
      boolean free = entry.inUse < slots && !entry.health.paused(nowMillis);
      if (!free || excluded.contains(candidate.getKey())) {
        continue;
      }
      double score = score(candidate.getKey(), entry, slots);
      if (score < bestScore) {
        bestScore = score;
        best = Optional.of(candidate.getKey());
      }
    }
    return best;
  }

  /** Load, then domain; equal ones take turns. */
  private double score(ExecutorId id, Entry entry, int slots) {
    double load = (double) entry.inUse / slots;
    boolean own = entry.declared.orElseThrow().domain().equals(domain);
    double spread = Math.floorMod(id.hashCode() * 31 + turn * 0x9E3779B9, 1024) / 1e6;
    return load + (own ? 0 : OTHER_DOMAIN_PENALTY) + spread;
  }

  private int usableSlots(ExecutorId id, Entry entry, long nowMillis) {
    if (entry.declared.isEmpty() || leaving.contains(id) || entry.health.ejected(nowMillis)) {
      return 0;
    }
    return entry.health.allowed(entry.share.slots(nowMillis), nowMillis);
  }

  /** Returns the slots that may be used now, busy or not. */
  int totalSlots(long nowMillis) {
    int total = 0;
    for (Map.Entry<ExecutorId, Entry> entry : entries.entrySet()) {
      total += usableSlots(entry.getKey(), entry.getValue(), nowMillis);
    }
    return total;
  }

  /** Tells whether a request of the class may be sent now; some slots are kept for urgent ones. */
  boolean hasFree(boolean urgent, long nowMillis) {
    int kept = urgent ? 0 : totalSlots(nowMillis) / URGENT_SHARE;
    return freeSlots(nowMillis) > kept;
  }

  private int freeSlots(long nowMillis) {
    int free = 0;
    for (Map.Entry<ExecutorId, Entry> entry : entries.entrySet()) {
      int slots = usableSlots(entry.getKey(), entry.getValue(), nowMillis);
      if (!entry.getValue().health.paused(nowMillis)) {
        free += Math.max(0, slots - entry.getValue().inUse);
      }
    }
    return free;
  }

  /** Gives back a slot. */
  void release(ExecutorId id) {
    Entry entry = entries.get(id);
    entry.inUse--;
    if (entry.declared.isEmpty() && entry.inUse == 0) {
      entries.remove(id);
    }
  }

  Optional<ExecutorHealth> health(ExecutorId id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.health);
  }

  /** Tells whether one more executor may be ejected under the cap. */
  boolean mayEject(long nowMillis) {
    long declared = entries.values().stream().filter(e -> e.declared.isPresent()).count();
    long ejected = entries.values().stream().filter(e -> e.health.ejected(nowMillis)).count();
    return ejected + 1 <= declared * EJECTION_CAP;
  }

  /** Returns the connections that may be open to each executor now. */
  Map<ExecutorId, Integer> connectionLimits(long nowMillis) {
    Map<ExecutorId, Integer> limits = new HashMap<>();
    entries.forEach((id, entry) -> limits.put(id, entry.connections.slots(nowMillis)));
    return limits;
  }

  private static final class Entry {
    private Optional<Executor> declared = Optional.empty();
    private final EffectiveShare share = new EffectiveShare();
    private final EffectiveShare connections = new EffectiveShare();
    private final ExecutorHealth health = new ExecutorHealth();
    private int inUse;
  }
}
