package org.fescuehook.logic.batch.plan;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.fescuehook.logic.batch.statistics.PlannedUsage;

/**
 * Tells which steps may use the part of the reserved capacity that is open to nearly late work.
 * While nearly late work of an organisation with much use waits for it, work of the same rank and
 * pool of organisations with less use may take it first. Otherwise a burst that has become late
 * would take all capacity at that limit, and work of the others would not start until it is nearly
 * late too.
 */
final class NearlyLateUse {

  private final PlannedUsage usage;

  /** The highest use of an organisation whose work is nearly late. */
  private final Map<Kind, Integer> highest = new HashMap<>();

  /** Work that waits for the same capacity. */
  private record Kind(Rank rank, String pool) {
    static Kind of(WaitingStep step) {
      return new Kind(step.rank(), step.pool());
    }
  }

  NearlyLateUse(Collection<WaitingStep> waiting, PlannedUsage usage) {
    this.usage = usage;
    if (!usage.enabled()) {
      return;
    }
    for (WaitingStep step : waiting) {
      // Long-running steps are late from the start, however little they need the capacity.
      if (step.nearlyLate() && step.step().spec().longRunning().isEmpty()) {
        highest.merge(Kind.of(step), usage.of(step.organisation()), Math::max);
      }
    }
  }

  /** Tells whether a step may use that capacity. */
  boolean mayUse(WaitingStep step) {
    if (step.nearlyLate()) {
      return true;
    }
    Integer late = usage.enabled() ? highest.get(Kind.of(step)) : null;
    return late != null && usage.of(step.organisation()) < late;
  }
}
