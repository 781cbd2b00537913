package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.OrganisationUsage;
import org.fescuehook.logic.batch.statistics.PlannedUsage;

/**
 * Logs which organisations use more than their share while others wait, and, once for each step,
 * that it waits since its organisation does.
 */
final class FairShareLog {

  private final OrganisationUsage usage;
  private final Set<String> exceeding = new HashSet<>();
  private final Set<StepProgress> deferred = Collections.newSetFromMap(new IdentityHashMap<>());

  FairShareLog(OrganisationUsage usage) {
    this.usage = usage;
  }

  /** The steps that only use and acceptance tell apart. */
  private record StepClass(Rank rank, StepTiming.Prospect prospect) {
    static StepClass of(WaitingStep step) {
      return new StepClass(step.rank(), step.timing().prospect());
    }
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
    logDeferred(waiting, plan.starts(), context);
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

  private void logDeferred(
      List<WaitingStep> waiting, List<TaskPlacement> starts, BatchContext context) {
    Set<StepProgress> started = new LinkedHashSet<>();
    PlannedUsage planned = new PlannedUsage(usage);
    for (TaskPlacement start : starts) {
      started.add(start.step());
      planned.add(start.step().job().job().organisation(), start.step().spec().demand());
    }
    Map<StepClass, List<WaitingStep>> startedByClass = new HashMap<>();
    for (WaitingStep step : waiting) {
      if (started.contains(step.step())) {
        startedByClass.computeIfAbsent(StepClass.of(step), same -> new ArrayList<>()).add(step);
      }
    }
    if (startedByClass.isEmpty()) {
      return;
    }
    for (WaitingStep step : waiting) {
      if (started.contains(step.step()) || deferred.contains(step.step())) {
        continue;
      }
      Collection<WaitingStep> equals = startedByClass.getOrDefault(StepClass.of(step), List.of());
      Optional<WaitingStep> preferred =
          equals.stream().filter(other -> isPreferred(other, step, planned)).findFirst();
      if (preferred.isPresent()) {
        deferred.add(step.step());
        noteDeferred(step, preferred.get(), context);
      }
    }
  }

  /** Tells whether a step of an organisation with less use went before one accepted earlier. */
  private boolean isPreferred(WaitingStep started, WaitingStep waiting, PlannedUsage planned) {
    return started.acceptedMillis() > waiting.acceptedMillis()
        && usage.level(started.organisation()).use() < planned.of(waiting.organisation());
  }

  private void noteDeferred(WaitingStep step, WaitingStep preferred, BatchContext context) {
    context.count("fescuehook.batch.shares.deferred", "rank", step.rank().toString());
    context.note(
        BatchLogEvent.JOB_DEFERRED,
        step.step().job().job().id(),
        step.step().number(),
        step.organisation(),
        decimal(usage.of(step.organisation())),
        preferred.step().job().job().id(),
        preferred.organisation(),
        decimal(usage.of(preferred.organisation())));
  }
}
