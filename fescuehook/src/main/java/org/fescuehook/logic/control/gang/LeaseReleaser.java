package org.fescuehook.logic.control.gang;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.fleet.WorkerId;

/**
 * Releases leases. A release is repeated until the worker confirms that the lease is gone, or until
 * the lease must have expired.
 */
final class LeaseReleaser {

  private record Lease(WorkerId worker, String id) {}

  private record PendingRelease(long sinceNanos, long sentNanos) {}

  private final Duration leaseTtl;
  private final Map<Lease, PendingRelease> pendingReleases = new LinkedHashMap<>();

  /**
   * Creates a releaser without pending releases.
   *
   * @param leaseTtl time after which a lease that is not renewed has expired
   */
  LeaseReleaser(Duration leaseTtl) {
    this.leaseTtl = leaseTtl;
  }

  /**
   * Releases a lease; does nothing if its release is already pending. Implements the action {@code
   * Release} of the module Gang.
   */
  void release(WorkerId worker, String id, DecisionContext context) {
    Lease lease = new Lease(worker, id);
    if (pendingReleases.containsKey(lease)) {
      return;
    }
    pendingReleases.put(lease, new PendingRelease(context.nowNanos(), context.nowNanos()));
    context.send(worker, new WorkerCommand.Release(id));
  }

  /** Handles that the worker reported a lease as gone. */
  void gone(WorkerId worker, String id) {
    pendingReleases.remove(new Lease(worker, id));
  }

  /** Forgets all pending releases. */
  void clear() {
    pendingReleases.clear();
  }

  /** Repeats the releases that were not answered. */
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
