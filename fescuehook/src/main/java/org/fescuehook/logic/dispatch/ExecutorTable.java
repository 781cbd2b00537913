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

/**
 * The executors with this VM's shares of them, their load and their health. Chooses the executor
 * for a request.
 */
final class ExecutorTable {
  /** Maximum fraction of the executors that may be ejected at the same time. */
  static final double MAX_EJECTED_FRACTION = 0.5;

  /** Added to the load of executors in other failure domains when they are compared. */
  private static final double OTHER_DOMAIN_PENALTY = 0.5;

  /** One of this many slots is reserved for urgent requests. */
  private static final int URGENT_SLOT_DIVISOR = 8;

  private final VmId vm;
  private final FailureDomain domain;
  private final Map<ExecutorId, Entry> entries = new HashMap<>();
  private Map<ExecutorId, SlotShare> shares = Map.of();
  private Set<ExecutorId> leaving = Set.of();
  private boolean hasShares;
  private int rotation;

  ExecutorTable(VmId vm, FailureDomain domain) {
    this.vm = vm;
    this.domain = domain;
  }

  /** Sets the declared executors; keeps the state of executors that were declared before. */
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

  /** Sets the announced shares of slots and connections. */
  void setShares(SlotShares announced, long nowMillis) {
    Map<ExecutorId, SlotShare> ownShares = new HashMap<>();
    for (SlotShare slotShare : announced.getSharesList()) {
      if (slotShare.getVm().equals(vm.value())) {
        ownShares.put(new ExecutorId(slotShare.getExecutor()), slotShare);
      }
    }
    shares = Map.copyOf(ownShares);
    long settleMillis = announced.getSettleMillis();
    entries.forEach((id, entry) -> announce(id, entry, nowMillis, settleMillis));
    hasShares = true;
  }

  private void announce(ExecutorId id, Entry entry, long nowMillis, long settleMillis) {
    Optional<SlotShare> ownShare = Optional.ofNullable(shares.get(id));
    entry.slotShare.announce(ownShare.map(s -> s.getSlots()).orElse(0), nowMillis, settleMillis);
    entry.connectionShare.announce(
        ownShare.map(s -> s.getConnections()).orElse(0), nowMillis, settleMillis);
  }

  /** Returns whether shares have been announced. */
  boolean hasShares() {
    return hasShares;
  }

  void setLeaving(Set<ExecutorId> executors) {
    leaving = Set.copyOf(executors);
  }

  /**
   * Chooses an executor for a request and occupies one of its slots.
   *
   * @param tried executors that are chosen only if no other executor is usable at all
   */
  Optional<ExecutorId> acquire(boolean urgent, Collection<ExecutorId> tried, long nowMillis) {
    if (!hasFreeSlot(urgent, nowMillis)) {
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
    rotation++;
    for (Map.Entry<ExecutorId, Entry> candidate : entries.entrySet()) {
      Entry entry = candidate.getValue();
      int slots = usableSlots(candidate.getKey(), entry, nowMillis);
      boolean free = entry.inUse < slots && !entry.health.isPaused(nowMillis);
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

  /**
   * Returns the executor's load, plus a penalty for another failure domain and a small value that
   * rotates among executors of equal load.
   */
  private double score(ExecutorId id, Entry entry, int slots) {
    double load = (double) entry.inUse / slots;
    boolean sameDomain = entry.declared.orElseThrow().domain().equals(domain);
    double spread = Math.floorMod(id.hashCode() * 31 + rotation * 0x9E3779B9, 1024) / 1e6;
    return load + (sameDomain ? 0 : OTHER_DOMAIN_PENALTY) + spread;
  }

  private int usableSlots(ExecutorId id, Entry entry, long nowMillis) {
    if (entry.declared.isEmpty() || leaving.contains(id) || entry.health.isEjected(nowMillis)) {
      return 0;
    }
    return entry.health.allowedSlots(entry.slotShare.effective(nowMillis), nowMillis);
  }

  /** Returns the number of slots that this VM may use now, including busy ones. */
  int totalSlots(long nowMillis) {
    int total = 0;
    for (Map.Entry<ExecutorId, Entry> entry : entries.entrySet()) {
      total += usableSlots(entry.getKey(), entry.getValue(), nowMillis);
    }
    return total;
  }

  /**
   * Returns whether an urgent or normal request may be dispatched now; some slots are reserved for
   * urgent requests.
   */
  boolean hasFreeSlot(boolean urgent, long nowMillis) {
    int reserved = urgent ? 0 : totalSlots(nowMillis) / URGENT_SLOT_DIVISOR;
    return freeSlots(nowMillis) > reserved;
  }

  private int freeSlots(long nowMillis) {
    int free = 0;
    for (Map.Entry<ExecutorId, Entry> entry : entries.entrySet()) {
      int slots = usableSlots(entry.getKey(), entry.getValue(), nowMillis);
      if (!entry.getValue().health.isPaused(nowMillis)) {
        free += Math.max(0, slots - entry.getValue().inUse);
      }
    }
    return free;
  }

  /** Frees a slot. */
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

  /** Returns whether one more executor may be ejected. */
  boolean mayEject(long nowMillis) {
    long declared = entries.values().stream().filter(e -> e.declared.isPresent()).count();
    long ejected = entries.values().stream().filter(e -> e.health.isEjected(nowMillis)).count();
    return ejected + 1 <= declared * MAX_EJECTED_FRACTION;
  }

  /** Returns the maximum number of connections to each executor at this time. */
  Map<ExecutorId, Integer> connectionLimits(long nowMillis) {
    Map<ExecutorId, Integer> limits = new HashMap<>();
    entries.forEach((id, entry) -> limits.put(id, entry.connectionShare.effective(nowMillis)));
    return limits;
  }

  private static final class Entry {
    private Optional<Executor> declared = Optional.empty();
    private final EffectiveShare slotShare = new EffectiveShare();
    private final EffectiveShare connectionShare = new EffectiveShare();
    private final ExecutorHealth health = new ExecutorHealth();
    private int inUse;
  }
}
