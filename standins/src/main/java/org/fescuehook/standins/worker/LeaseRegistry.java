package org.fescuehook.standins.worker;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.standins.worker.WorkerEvent.Kind;

/** The leases of a worker. Callers pass the time in monotonic milliseconds. Not thread-safe. */
final class LeaseRegistry {
  private final String worker;
  private final String idPrefix;
  private final Consumer<WorkerEvent> journal;
  private final Map<String, Lease> leases = new LinkedHashMap<>();
  private Resources free;
  private long lastLeaseNumber;
  private long nextEventAt = Long.MAX_VALUE;

  /**
   * Creates the leases of a worker that holds none.
   *
   * @param incarnation distinguishes its lease ids from those of the worker's earlier incarnations
   * @param total all resources of the worker
   */
  LeaseRegistry(String worker, String incarnation, Resources total, Consumer<WorkerEvent> journal) {
    this.worker = worker;
    this.idPrefix = worker + "." + incarnation + ".";
    this.free = total;
    this.journal = journal;
  }

  /** Grants a lease on resources; empty if not enough are free. */
  Optional<Lease> grant(long now, String key, Resources requested, long ttlMillis) {
    expire(now);
    if (!free.covers(requested)) {
      refuse(now, key, requested);
      return Optional.empty();
    }
    Lease lease = new Lease(idPrefix + ++lastLeaseNumber, key, requested, now + ttlMillis);
    leases.put(lease.id, lease);
    free = free.plus(requested, -1);
    updateNextEvent(lease);
    record(now, Kind.GRANTED, lease);
    return Optional.of(lease);
  }

  /** Records that a request for a lease was rejected. */
  void refuse(long now, String key, Resources requested) {
    int accelerators = requested.accelerators();
    journal.accept(new WorkerEvent(now, worker, Kind.REFUSED, "", key, "", accelerators));
  }

  /** Returns a lease that is neither released nor expired. */
  Optional<Lease> find(long now, String id) {
    expire(now);
    return Optional.ofNullable(leases.get(id));
  }

  /** Starts the task of a lease, unless one has been started on this lease before. */
  void start(long now, Lease lease, String job, TaskCommand command) {
    if (lease.state == LeaseState.HELD) {
      lease.start(now, job, command);
      updateNextEvent(lease);
      record(now, Kind.STARTED, lease);
    }
  }

  /** Sets the time until the lease expires, which may also shorten it. */
  void renew(long now, Lease lease, long ttlMillis) {
    lease.expiresAt = now + ttlMillis;
    updateNextEvent(lease);
  }

  /** Releases a lease: stops its task and frees its resources. */
  void release(long now, Lease lease) {
    remove(now, Kind.RELEASED, lease);
  }

  /** Takes a changed time of the lease into account. */
  void updateNextEvent(Lease lease) {
    nextEventAt = Math.min(nextEventAt, lease.nextEventAt());
  }

  /** Ends the tasks and expires the leases that are due. */
  void expire(long now) {
    if (now < nextEventAt) {
      return;
    }
    nextEventAt = Long.MAX_VALUE;
    for (Lease lease : List.copyOf(leases.values())) {
      if (lease.endTask(now)) {
        record(now, Kind.valueOf(lease.state.name()), lease);
      }
      if (lease.expiresAt <= now) {
        remove(now, Kind.LAPSED, lease);
      } else {
        updateNextEvent(lease);
      }
    }
  }

  /** Returns all leases that are neither released nor expired. */
  Collection<Lease> leases() {
    return leases.values();
  }

  private void remove(long now, Kind kind, Lease lease) {
    leases.remove(lease.id);
    free = free.plus(lease.resources, 1);
    record(now, kind, lease);
  }

  private void record(long now, Kind kind, Lease lease) {
    int accelerators = lease.resources.accelerators();
    journal.accept(
        new WorkerEvent(now, worker, kind, lease.id, lease.key, lease.job, accelerators));
  }
}
