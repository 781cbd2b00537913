package org.fescuehook.standins.worker;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The leases of one worker. Time is an argument, in milliseconds; each call first lets lapse what
 * is due. Not thread-safe.
 */
final class LeaseBook {
  private final String worker;
  private final String incarnation;
  private final Consumer<WorkerEvent> journal;
  private final Map<String, Lease> leases = new LinkedHashMap<>();
  private Resources free;
  private long issued;
  private long nextEvent = Long.MAX_VALUE;

  /**
   * Creates an empty book.
   *
   * @param incarnation part of each lease id, different for each start of the worker
   */
  LeaseBook(String worker, String incarnation, Resources total, Consumer<WorkerEvent> journal) {
    this.worker = worker;
    this.incarnation = incarnation;
    this.free = total;
    this.journal = journal;
  }

  /** Holds resources; empty if there are not enough. */
  Optional<Lease> grant(long now, String key, Resources asked, long ttlMillis) {
    expire(now);
    if (!free.fits(asked)) {
      refuse(now, key, asked);
      return Optional.empty();
    }
    String id = worker + "." + incarnation + "." + ++issued;
    Lease lease = new Lease(id, key, asked, now + ttlMillis);
    leases.put(id, lease);
    free = free.minus(asked);
    schedule(lease);
    record(now, WorkerEvent.Kind.GRANTED, lease);
    return Optional.of(lease);
  }

  /** Notes a refusal of a grant. */
  void refuse(long now, String key, Resources asked) {
    journal.accept(
        new WorkerEvent(
            now, worker, WorkerEvent.Kind.REFUSED, "", key, "", asked.accelerators()));
  }

  /** Returns a lease that is not gone. */
  Optional<Lease> find(long now, String id) {
    expire(now);
    return Optional.ofNullable(leases.get(id));
  }

  /** Starts the task of a lease that is held; changes nothing otherwise. */
  void start(long now, Lease lease, String job, TaskCommand command) {
    if (lease.state != LeaseState.HELD) {
      return;
    }
    lease.start(now, job, command);
    schedule(lease);
    record(now, WorkerEvent.Kind.STARTED, lease);
  }

  /** Renews a lease that is not gone. */
  void renew(long now, Lease lease, long ttlMillis) {
    lease.expiresAt = now + ttlMillis;
    schedule(lease);
  }

  /** Has the task saved and stopped at a time. */
  void checkpoint(Lease lease, long at) {
    lease.checkpoint(at);
    schedule(lease);
  }

  /** Changes the speed of a task. */
  void throttle(long now, Lease lease, int percent) {
    lease.throttle(now, percent);
    schedule(lease);
  }

  /** Stops the task and frees the resources. */
  void release(long now, Lease lease) {
    leases.remove(lease.id);
    free = free.plus(lease.resources);
    record(now, WorkerEvent.Kind.RELEASED, lease);
  }

  /** Lets tasks end and leases lapse that are due. */
  void expire(long now) {
    if (now < nextEvent) {
      return;
    }
    nextEvent = Long.MAX_VALUE;
    for (Iterator<Lease> i = leases.values().iterator(); i.hasNext(); ) {
      Lease lease = i.next();
      if (lease.endTask(now)) {
        record(now, ending(lease), lease);
      }
      if (lease.expiresAt <= now) {
        i.remove();
        free = free.plus(lease.resources);
        record(now, WorkerEvent.Kind.LAPSED, lease);
        continue;
      }
      schedule(lease);
    }
  }

  /** Returns all leases that are not gone. */
  Collection<Lease> leases() {
    return leases.values();
  }

  private static WorkerEvent.Kind ending(Lease lease) {
    return switch (lease.state) {
      case FINISHED -> WorkerEvent.Kind.FINISHED;
      case FAILED -> WorkerEvent.Kind.FAILED;
      default -> WorkerEvent.Kind.CHECKPOINTED;
    };
  }

  private void schedule(Lease lease) {
    nextEvent = Math.min(nextEvent, lease.nextEvent());
  }

  private void record(long now, WorkerEvent.Kind kind, Lease lease) {
    journal.accept(
        new WorkerEvent(
            now, worker, kind, lease.id, lease.key, lease.job, lease.resources.accelerators()));
  }
}
