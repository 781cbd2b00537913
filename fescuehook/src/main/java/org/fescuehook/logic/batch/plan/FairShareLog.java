package org.fescuehook.logic.batch.plan;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.OrganisationUsage;

/**
 * Logs which organisations use more than their share while others wait, and, once for each step,
 * that it waits since its organisation does.
 */
final class FairShareLog {

  private static final double TENTHS = 10;

  private final OrganisationUsage usage;
  private final Set<String> exceeding = new HashSet<>();
  private final Set<StepProgress> deferred = Collections.newSetFromMap(new IdentityHashMap<>());

  FairShareLog(OrganisationUsage usage) {
    this.usage = usage;
  }

  /**
   * Logs what a plan shows.
   *
   * @param waiting the steps that waited when the plan was made
   */
  void check(List<WaitingStep> waiting, Planner.Plan plan, BatchContext context) {
    if (!usage.enabled()) {
      return;
    }
    logShares(waiting, context);
    logDeferred(plan, context);
    if (deferred.isEmpty()) {
      return;
    }
    Set<StepProgress> present = Collections.newSetFromMap(new IdentityHashMap<>());
    waiting.forEach(step -> present.add(step.step()));
    deferred.retainAll(present);
  }

  private void logShares(List<WaitingStep> waiting, BatchContext context) {
    Set<String> organisations = new HashSet<>(usage.organisations());
    organisations.addAll(exceeding);
    for (String organisation : organisations) {
      boolean exceeds = usage.level(organisation).exceedsShare();
      boolean othersWait =
          waiting.stream().anyMatch(step -> !step.organisation().equals(organisation));
      if (exceeds && othersWait && exceeding.add(organisation)) {
        note(BatchLogEvent.SHARE_EXCEEDED, organisation, context);
      } else if (!exceeds && exceeding.remove(organisation)) {
        note(BatchLogEvent.SHARE_KEPT, organisation, context);
      }
    }
  }

  private void note(BatchLogEvent event, String organisation, BatchContext context) {
    OrganisationUsage.Figures figures = usage.figures(organisation);
    context.note(
        event,
        organisation,
        decimal(figures.use()),
        decimal(figures.heldShare()),
        decimal(figures.recentShare()),
        decimal(figures.entitledShare()));
  }

  private static String decimal(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }

  /**
   * Logs the steps that did not start although one that was accepted later did, since the latter
   * was considered before because of use.
   */
  private void logDeferred(Planner.Plan plan, BatchContext context) {
    Set<StepProgress> started = Collections.newSetFromMap(new IdentityHashMap<>());
    plan.starts().forEach(start -> started.add(start.step()));
    if (started.isEmpty()) {
      return;
    }
    Map<String, PlanOrder.Considered> latestStarted = new HashMap<>();
    Optional<WaitingStep> previous = Optional.empty();
    for (PlanOrder.Considered considered : plan.considered()) {
      WaitingStep step = considered.step();
      if (previous.filter(step::sameClass).isEmpty()) {
        latestStarted.clear();
      }
      previous = Optional.of(step);
      if (started.contains(step.step())) {
        latestStarted.merge(
            step.organisation(),
            considered,
            (one, other) -> one.position() > other.position() ? one : other);
      } else if (!deferred.contains(step.step())) {
        latestStarted.values().stream()
            .filter(other -> !other.step().organisation().equals(step.organisation()))
            .filter(other -> other.position() > considered.position())
            .findFirst()
            .ifPresent(other -> noteDeferred(considered, other, context));
      }
    }
  }

  private void noteDeferred(
      PlanOrder.Considered waiting, PlanOrder.Considered preferred, BatchContext context) {
    WaitingStep step = waiting.step();
    deferred.add(step.step());
    context.count("fescuehook.batch.shares.deferred", "rank", step.rank().toString());
    context.note(
        BatchLogEvent.JOB_DEFERRED,
        step.step().job().job().id(),
        step.step().number(),
        step.organisation(),
        decimal(waiting.use() / TENTHS),
        preferred.step().organisation(),
        decimal(preferred.use() / TENTHS),
        preferred.step().step().job().job().id());
  }
}
