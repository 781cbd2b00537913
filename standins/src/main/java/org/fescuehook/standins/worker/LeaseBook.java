package org.fescuehook.standins.worker;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.standins.worker.WorkerEvent.Kind;

/** The leases of one worker; time is an argument, in milliseconds. Not thread-safe. */
final class LeaseBook {
  private final String worker;
  private final String idPrefix;
  private final Consumer<WorkerEvent> journal;
  private final Map<String, Lease> leases = new LinkedHashMap<>();
  private Resources free;
  private long issued;
  private long nextEvent = Long.MAX_VALUE;

  /** Creates an empty book; the incarnation tells its lease ids from those of earlier ones. */
  LeaseBook(String worker, String incarnation, Resources total, Consumer<WorkerEvent> journal) {
    this.worker = worker;
    this.idPrefix = worker + "." + incarnation + ".";
    this.free = total;
    this.journal = journal;
  }

  /** Holds resources; empty if there are not enough. */
  Optional<Lease> grant(long now, String key, Resources asked, long ttlMillis) {
    expire(now);
    if (!free.covers(asked)) {
      refuse(now, key, asked);
      return Optional.empty();
    }
    Lease lease = new Lease(idPrefix + ++issued, key, asked, now + ttlMillis);
    leases.put(lease.id, lease);
    free = free.plus(asked, -1);
    changed(lease);
    record(now, Kind.GRANTED, lease);
    return Optional.of(lease);
  }

  /** Notes that a lease was asked for and not given. */
  void refuse(long now, String key, Resources asked) {
    int accelerators = asked.accelerators();
    journal.accept(new WorkerEvent(now, worker, Kind.REFUSED, "", key, "", accelerators));
  }

  /** Returns a lease that is not gone. */
  Optional<Lease> find(long now, String id) {
    expire(now);
    return Optional.ofNullable(leases.get(id));
  }

  /** Starts the task of a lease that is held; changes nothing otherwise. */
  void start(long now, Lease lease, String job, TaskCommand command) {
    if (lease.state == LeaseState.HELD) {
      lease.start(now, job, command);
      changed(lease);
      record(now, Kind.STARTED, lease);
    }
  }

  /** Sets the time until the lease lapses. */
  void renew(long now, Lease lease, long ttlMillis) {
    lease.expiresAt = now + ttlMillis;
    changed(lease);
  }

  /** Stops the task and frees the resources. */
  void release(long now, Lease lease) {
    remove(now, Kind.RELEASED, lease);
  }

  /** Notes that a time of the lease was changed. */
  void changed(Lease lease) {
    nextEvent = Math.min(nextEvent, lease.nextEvent());
  }

  /** Lets tasks end and leases lapse that are due. */
  void expire(long now) {
    if (now < nextEvent) {
      return;
    }
    nextEvent = Long.MAX_VALUE;
    for (Lease lease : List.copyOf(leases.values())) {
      if (lease.endTask(now)) {
        record(now, Kind.valueOf(lease.state.name()), lease);
      }
      if (lease.expiresAt <= now) {
        remove(now, Kind.LAPSED, lease);
      } else {
        changed(lease);
      }
    }
  }

  /** Returns all leases that are not gone. */
  Collection<Lease> leases() {
    return leases.values();
  }

  private void remove(long now, Kind kind, Lease lease) {
    leases.remove(lease.id);
    free = free.plus(lease.resources, 1);
    record(now, kind, lease);
  }

  private void record(long now, Kind kind, Lease l) {
    int accelerators = l.resources.accelerators();
    journal.accept(new WorkerEvent(now, worker, kind, l.id, l.key, l.job, accelerators));
  }
}
