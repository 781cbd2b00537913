package org.fescuehook.logic.control.gang;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.model.fleet.WorkerId;

/**
 * Tracks the workers that get no requests for leases for a time because they refused one or did not
 * answer.
 */
final class WorkerBackoff {
  private final Map<WorkerId, Long> refusedUntil = new HashMap<>();
  private final Map<WorkerId, Long> silentUntil = new HashMap<>();

  void refused(WorkerId worker, DecisionContext context) {
    refusedUntil.put(worker, context.nowNanos() + ControlLimits.REFUSED_BACKOFF.toNanos());
  }

  void silent(WorkerId worker, DecisionContext context) {
    silentUntil.put(worker, context.nowNanos() + ControlLimits.SILENT_BACKOFF.toNanos());
  }

  void answered(WorkerId worker) {
    silentUntil.remove(worker);
  }

  Set<WorkerId> workersInBackoff(DecisionContext context) {
    refusedUntil.values().removeIf(until -> until <= context.nowNanos());
    silentUntil.values().removeIf(until -> until <= context.nowNanos());
    Set<WorkerId> workers = new HashSet<>(refusedUntil.keySet());
    workers.addAll(silentUntil.keySet());
    return workers;
  }
}
