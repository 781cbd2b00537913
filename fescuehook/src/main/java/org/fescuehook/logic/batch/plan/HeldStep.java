package org.fescuehook.logic.batch.plan;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.batch.BatchStep;

/**
 * A step of which a plan starts nothing, with what is needed to tell why. The reason is determined
 * only on demand, since that takes several searches for a place.
 *
 * @param waiting the step as it was passed to the plan
 * @param planned the step with the requirements that the plan has added
 * @param rule the rule by which it was decided; empty if there was no place for the step
 * @param view the capacity that the plan had
 */
record HeldStep(WaitingStep waiting, WaitingStep planned, Optional<HeldBy> rule, View view) {

  /**
   * The capacity that a plan had for a step. It is read after the plan is complete, when as much or
   * less is free, so that a place found then was there before.
   *
   * @param all what is free
   * @param open what is free less what is reserved, if reservations limit the step
   * @param kept what the plan keeps without starting anything there
   * @param waits tells whether the step has to start near its data
   */
  record View(
      FleetCapacity all, FleetCapacity open, List<TaskPlacement> kept, PlacementWaits waits) {}

  /** Returns the rule that keeps the step from starting. */
  HeldBy by() {
    return rule.orElseGet(this::missingPlace);
  }

  private HeldBy missingPlace() {
    boolean nearOnly = view.waits().nearOnly(planned);
    WaitingStep unavoiding = planned.avoiding(Avoidance.NONE);
    StartRequirement requirement = planned.requirement();
    if (fits(planned, view.all(), nearOnly)) {
      return HeldBy.RESERVATION;
    }
    if (fits(planned, view.open(), false)) {
      return HeldBy.NEARNESS;
    }
    if (fitsOpen(unavoiding, nearOnly)) {
      return HeldBy.AVOIDANCE;
    }
    if (fitsOpen(planned.requiring(requirement.withoutProof()), nearOnly)) {
      return HeldBy.PROOF;
    }
    if (fitsOpen(planned.requiring(StartRequirement.ANY), nearOnly)) {
      boolean acceptsAll = requirement.trial() && requirement.acceptsUnproven();
      return acceptsAll ? HeldBy.TRIALS : HeldBy.RELIABILITY;
    }
    if (fitsOpen(planned.anticipatingAdvice(), nearOnly)) {
      return HeldBy.ADVICE;
    }
    if (!view.kept().isEmpty() && fits(planned, withoutKept(), nearOnly)) {
      return HeldBy.KEPT_FOR_OTHERS;
    }
    WaitingStep free = unavoiding.requiring(StartRequirement.ANY).anticipatingAdvice();
    return fits(free, view.all(), false) ? HeldBy.SEVERAL : occupied(free);
  }

  private boolean fitsOpen(WaitingStep step, boolean nearOnly) {
    return fits(step, view.open(), nearOnly);
  }

  private static boolean fits(WaitingStep step, FleetCapacity capacity, boolean nearOnly) {
    return step.step().spec().gang()
        ? capacity.tightestGroup(step, step.tasks().size(), nearOnly).isPresent()
        : capacity.firstGroup(step, nearOnly).isPresent();
  }

  private FleetCapacity withoutKept() {
    FleetCapacity capacity = view.open().copy();
    for (TaskPlacement placement : view.kept()) {
      capacity.release(placement.executor(), placement.step().spec().demand());
    }
    return capacity;
  }

  /** Returns what keeps a step without requirements from executors with free capacity for it. */
  private HeldBy occupied(WaitingStep free) {
    BatchStep spec = free.step().spec();
    List<CandidateExecutor> withCapacity =
        view.open().groups(free, false).stream()
            .flatMap(List::stream)
            .filter(candidate -> candidate.free().fits(spec.demand()) > 0)
            .toList();
    if (withCapacity.isEmpty()) {
      return HeldBy.CAPACITY;
    }
    if (withCapacity.stream().anyMatch(CandidateExecutor::onProbation)) {
      return HeldBy.PROBATION;
    }
    if (withCapacity.stream().anyMatch(candidate -> candidate.interferesWith(spec))) {
      return HeldBy.SHARING;
    }
    return spec.placement().maxPerExecutor() > 0 ? HeldBy.LIMIT_PER_EXECUTOR : HeldBy.CAPACITY;
  }
}
