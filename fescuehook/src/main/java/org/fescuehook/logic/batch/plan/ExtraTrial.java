package org.fescuehook.logic.batch.plan;

import java.util.Comparator;
import java.util.List;

/**
 * Places one task of a step of which nothing runs on a doubted executor on which as many tasks are
 * tried already as the doubt permits. Without it, a run that takes long keeps all other work from
 * its executor for as long, however much is free there.
 */
final class ExtraTrial {

  /** The executor that is least likely to be faulty, among equals the one with most left. */
  private static final Comparator<CandidateExecutor> LEAST_FAULTY =
      Comparator.comparingDouble(CandidateExecutor::faultProbability)
          .thenComparingDouble(candidate -> -candidate.free().coreEquivalents());

  private ExtraTrial() {}

  /** Returns the placement of one task; empty if the step is not suited to it or has no place. */
  static List<TaskPlacement> place(WaitingStep waiting, FleetCapacity capacity, boolean nearOnly) {
    if (!waiting.requirement().trial() || !waiting.step().liveRuns().isEmpty()) {
      return List.of();
    }
    WaitingStep unlimited = waiting.requiring(waiting.requirement().withoutTrialLimit());
    return capacity
        .firstGroup(unlimited, nearOnly)
        .flatMap(
            group ->
                group.stream()
                    .filter(candidate -> FleetCapacity.fits(unlimited, candidate) > 0)
                    .min(LEAST_FAULTY))
        .map(CandidateExecutor::executor)
        .map(on -> List.of(new TaskPlacement(waiting.step(), waiting.tasks().getFirst(), on)))
        .orElse(List.of());
  }
}
