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

  private final Duration leaseTtl;
  private final Map<Lease, PendingRelease> pendingReleases = new LinkedHashMap<>();

  /**
   * Creates a releaser without work.
   *
   * @param effortLimit time after which a lease that nobody renews has lapsed
   */
  LeaseReleaser(Duration leaseTtl) {
    this.leaseTtl = leaseTtl;
  }

  /** Releases a lease; does nothing if that is under way. Implements {@code Release}. */
  void release(WorkerId worker, String id, DecisionContext context) {
    Lease lease = new Lease(worker, id);
    if (pendingReleases.containsKey(lease)) {
      return;
    }
    pendingReleases.put(lease, new PendingRelease(context.nowNanos(), context.nowNanos()));
    context.send(worker, new WorkerCommand.Release(id));
  }

  /** A lease is gone by its worker's word. */
  void gone(WorkerId worker, String id) {
    pendingReleases.remove(new Lease(worker, id));
  }

  /** Forgets all. */
  void clear() {
    pendingReleases.clear();
  }

  /** Repeats what was not answered. */
  void step(DecisionContext context) {
    Iterator<Map.Entry<Lease, PendingRelease>> entries = pendingReleases.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Lease, PendingRelease> entry = entries.next();
      PendingRelease pending = entry.getValue();
      if (context.hasElapsed(pending.sinceNanos(), leaseTtl)) {
        entries.remove();
      } else if (context.hasElapsed(
          pending.sentNanos(), ControlLimits.COMMAND_RETRY_INTERVAL.multipliedBy(2))) {
        Lease lease = entry.getKey();
        entry.setValue(new PendingRelease(pending.sinceNanos(), context.nowNanos()));
        context.send(lease.worker(), new WorkerCommand.Release(lease.id()));
      }
    }
  }
}
