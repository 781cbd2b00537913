package org.fescuehook.logic.control.gang;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.fleet.WorkerId;

/** Releases leases, again and again until the worker's word or until they have lapsed. */
final class LeaseReleaser {

  private record Lease(WorkerId worker, String id) {}

  private record PendingRelease(long sinceNanos, long sentNanos) {}

  private final Duration effortLimit;
  private final Map<Lease, PendingRelease> efforts = new LinkedHashMap<>();

  /**
   * Creates a releaser without work.
   *
   * @param effortLimit time after which a lease that nobody renews has lapsed
   */
  LeaseReleaser(Duration effortLimit) {
    this.effortLimit = effortLimit;
  }

  /** Releases a lease; does nothing if that is under way. Implements {@code Release}. */
  void release(WorkerId worker, String id, DecisionContext turn) {
    Lease lease = new Lease(worker, id);
    if (efforts.containsKey(lease)) {
      return;
    }
    efforts.put(lease, new PendingRelease(turn.now(), turn.now()));
    turn.send(worker, new WorkerCommand.Release(id));
  }

  /** A lease is gone by its worker's word. */
  void gone(WorkerId worker, String id) {
    efforts.remove(new Lease(worker, id));
  }

  /** Forgets all. */
  void clear() {
    efforts.clear();
  }

  /** Repeats what was not answered. */
  void step(DecisionContext turn) {
    Iterator<Map.Entry<Lease, PendingRelease>> entries = efforts.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Lease, PendingRelease> entry = entries.next();
      PendingRelease effort = entry.getValue();
      if (turn.passed(effort.sinceNanos(), effortLimit)) {
        entries.remove();
      } else if (turn.passed(effort.sentNanos(), ControlLimits.COMMAND_RETRY.multipliedBy(2))) {
        Lease lease = entry.getKey();
        entry.setValue(new PendingRelease(effort.sinceNanos(), turn.now()));
        turn.send(lease.worker(), new WorkerCommand.Release(lease.id()));
      }
    }
  }
}
