package org.fescuehook.logic.batch.plan;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.fescuehook.logic.batch.statistics.PlannedUsage;

/**
 * Tells which steps may use the part of the reserved capacity that is open to nearly late work.
 * While nearly late work of an organisation with much use waits for it, work of the same rank of
 * organisations with less use may take it first. Otherwise a burst that has become late would take
 * all capacity at that limit, and work of the others would not start until it is nearly late too.
 */
final class NearlyLateUse {

  private final PlannedUsage usage;

  /** For each rank, the highest use of an organisation whose work is nearly late. */
  private final Map<Rank, Double> highest = new HashMap<>();

  NearlyLateUse(Collection<WaitingStep> waiting, PlannedUsage usage) {
    this.usage = usage;
    if (!usage.enabled()) {
      return;
    }
    for (WaitingStep step : waiting) {
      if (step.nearlyLate()) {
        highest.merge(step.rank(), usage.of(step.organisation()), Math::max);
      }
    }
  }

  /** Tells whether a step may use that capacity. */
  boolean mayUse(WaitingStep step) {
    if (step.nearlyLate()) {
      return true;
    }
    Double late = highest.get(step.rank());
    return late != null && usage.of(step.organisation()) < late;
  }
}
