package org.fescuehook.logic.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.fescuehook.logic.worker.WorkerPort.LeaseState;
import org.fescuehook.logic.worker.WorkerPort.State;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.logic.worker.WorkerPort.WorkerReply;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.WorkerId;

/**
 * A simulated worker with leases. The command of a task is {@code finish SECONDS} or {@code fail
 * SECONDS}.
 */
final class FakeWorker {
  private static final long SECOND = 1_000_000_000L;

  static final class Lease {
    Capacity capacity = Capacity.NONE;
    long expires;
    String attempt = "";
    String job = "";
    String command = "";
    long ends = Long.MAX_VALUE;
    LeaseState state = LeaseState.HELD;
  }

  final WorkerId id;
  private final Capacity capacity;
  private final LongSupplier clock;
  private final Map<String, Lease> leases = new LinkedHashMap<>();
  final List<String> started = new ArrayList<>();
  private int lastLease;
  boolean refusing;
  boolean dead;
  boolean ignoresCheckpoint;
  boolean failing;

  FakeWorker(WorkerId id, Capacity capacity, LongSupplier clock) {
    this.id = id;
    this.capacity = capacity;
    this.clock = clock;
  }

  WorkerReply handle(WorkerCommand command) {
    advance();
    return switch (command) {
      case WorkerCommand.Grant grant -> grant(grant);
      case WorkerCommand.Start start -> start(start);
      case WorkerCommand.Renew renew -> renew(renew);
      case WorkerCommand.Checkpoint(String lease) -> checkpoint(lease);
      case WorkerCommand.Throttle(String lease, int percent) -> states(List.of(lease));
      case WorkerCommand.Release(String lease) -> {
        leases.remove(lease);
        yield states(List.of(lease));
      }
    };
  }

  private WorkerReply grant(WorkerCommand.Grant grant) {
    Capacity wanted = new Capacity(grant.accelerators(), grant.cores(), grant.memoryMegabytes());
    Capacity used = Capacity.NONE;
    for (Lease lease : leases.values()) {
      used = used.plus(lease.capacity);
    }
    if (refusing || !capacity.contains(used.plus(wanted))) {
      return new WorkerReply.GrantRefused(id, grant.key(), "insufficient");
    }
    Lease lease = new Lease();
    lease.capacity = wanted;
    lease.expires = clock.getAsLong() + grant.ttlMillis() * 1_000_000;
    lastLease++;
    leases.put("lease-" + lastLease, lease);
    return new WorkerReply.Granted(id, grant.key(), "lease-" + lastLease);
  }

  private WorkerReply start(WorkerCommand.Start start) {
    Lease lease = leases.get(start.lease());
    if (lease != null && lease.state == LeaseState.HELD) {
      lease.state = LeaseState.RUNNING;
      started.add(start.attempt());
      lease.job = start.job();
      lease.attempt = start.attempt();
      lease.command = failing ? "fail 1" : start.command();
      long seconds = Long.parseLong(lease.command.split(" ")[1]);
      lease.ends = clock.getAsLong() + seconds * SECOND;
    }
    return states(List.of(start.lease()));
  }

  private WorkerReply renew(WorkerCommand.Renew renew) {
    for (String id : renew.leases()) {
      Lease lease = leases.get(id);
      if (lease != null) {
        lease.expires = clock.getAsLong() + renew.ttlMillis() * 1_000_000;
      }
    }
    return states(renew.leases());
  }

  private WorkerReply checkpoint(String id) {
    Lease lease = leases.get(id);
    if (lease != null && lease.state == LeaseState.RUNNING && !ignoresCheckpoint) {
      lease.state = LeaseState.CHECKPOINTED;
    }
    return states(List.of(id));
  }

  private WorkerReply states(List<String> ids) {
    List<State> states = new ArrayList<>();
    for (String lease : ids) {
      LeaseState state = leases.containsKey(lease) ? leases.get(lease).state : LeaseState.GONE;
      states.add(new State(lease, state, state == LeaseState.FAILED ? 1 : 0));
    }
    return new WorkerReply.States(id, states);
  }

  /** Advances to the current time: leases expire and tasks end. */
  void advance() {
    long now = clock.getAsLong();
    leases.values().removeIf(lease -> lease.expires <= now);
    for (Lease lease : leases.values()) {
      if (lease.state == LeaseState.RUNNING && lease.ends <= now) {
        boolean fails = lease.command.startsWith("fail");
        lease.state = fails ? LeaseState.FAILED : LeaseState.FINISHED;
      }
    }
  }

  /** Simulates the death of the worker's VM: its tasks and leases are gone at once. */
  void die() {
    dead = true;
    leases.clear();
  }

  List<Lease> leases() {
    advance();
    return List.copyOf(leases.values());
  }
}
