package org.fescuehook.logic.control.gang;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.model.fleet.WorkerId;

/**
 * Workers that get no requests for leases for a while, since they refused one or gave no answer.
 */
final class WorkerBackoff {
  private final Map<WorkerId, Long> refusedUntil = new HashMap<>();
  private final Map<WorkerId, Long> silentUntil = new HashMap<>();

  void refused(WorkerId worker, DecisionContext turn) {
    refusedUntil.put(worker, turn.now() + ControlLimits.REFUSED_REST.toNanos());
  }

  void silent(WorkerId worker, DecisionContext turn) {
    silentUntil.put(worker, turn.now() + ControlLimits.SILENT_REST.toNanos());
  }

  void answered(WorkerId worker) {
    silentUntil.remove(worker);
  }

  Set<WorkerId> resting(DecisionContext turn) {
    refusedUntil.values().removeIf(until -> until <= turn.now());
    silentUntil.values().removeIf(until -> until <= turn.now());
    Set<WorkerId> resting = new HashSet<>(refusedUntil.keySet());
    resting.addAll(silentUntil.keySet());
    return resting;
  }
}
