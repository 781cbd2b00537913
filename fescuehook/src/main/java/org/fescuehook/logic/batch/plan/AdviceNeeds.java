package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.batch.advice.AdviceNeed;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.model.fleet.Incarnation;

/** Collects the tickets that the steps of a plan lack. */
final class AdviceNeeds {

  private final List<AdviceNeed> needs = new ArrayList<>();

  /**
   * Adds the tickets with which tasks would start now, each of them independently of the others.
   *
   * @param waiting the step with the tasks that do not start yet
   * @param allowed largest number of tasks that may start
   * @param free what is free for the step now
   * @return whether there is capacity that only tickets bar from the step
   */
  boolean addTasks(WaitingStep waiting, int allowed, FleetCapacity free, boolean nearOnly) {
    if (waiting.advice().isEmpty() || allowed <= 0) {
      return false;
    }
    WaitingStep anticipating = waiting.anticipatingAdvice();
    List<CandidateExecutor> group = free.firstGroup(anticipating, nearOnly).orElse(List.of());
    List<TaskProgress> tasks =
        waiting.tasks().subList(0, Math.min(allowed, waiting.tasks().size()));
    List<TaskPlacement> placements = FleetCapacity.placeTasks(anticipating, tasks, group);
    if (placements.isEmpty()) {
      return false;
    }
    add(anticipating, placements, group, false);
    return true;
  }

  /**
   * Adds the tickets of placements that are of use only together.
   *
   * @param waiting the step, with its advice anticipated
   * @param placements where its tasks would start, at least one
   * @param capacity capacity in which other executors may be found
   */
  void addAll(
      WaitingStep waiting,
      List<TaskPlacement> placements,
      FleetCapacity capacity,
      boolean nearOnly) {
    List<CandidateExecutor> group =
        capacity.groupOf(placements.getFirst().executor(), waiting, nearOnly);
    add(waiting, placements, group, true);
  }

  private void add(
      WaitingStep waiting,
      List<TaskPlacement> placements,
      List<CandidateExecutor> group,
      boolean together) {
    List<Incarnation> intended =
        placements.stream()
            .map(placement -> placement.executor().incarnation())
            .distinct()
            .toList();
    List<Incarnation> alternatives =
        group.stream()
            .filter(candidate -> FleetCapacity.fits(waiting, candidate) > 0)
            .map(candidate -> candidate.executor().incarnation())
            .toList();
    needs.add(new AdviceNeed(waiting.step(), intended, alternatives, together));
  }

  /** Returns the needs in the order of planning. */
  List<AdviceNeed> all() {
    return List.copyOf(needs);
  }
}
