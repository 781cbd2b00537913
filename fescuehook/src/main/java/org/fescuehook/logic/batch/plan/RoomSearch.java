package org.fescuehook.logic.batch.plan;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.state.TaskProgress;

/**
 * Finds where a step can start: now, or after runs have ended that are being stopped or that the
 * step may preempt.
 */
final class RoomSearch {

  private final Preemptor preemptor;
  private final FleetCapacity expected;
  private final FreedCapacity freedCapacity;
  private final long nowNanos;

  /**
   * Creates the search of a plan.
   *
   * @param expected capacity of the pool once all runs that are being stopped have ended
   */
  RoomSearch(
      Preemptor preemptor, FleetCapacity expected, FreedCapacity freedCapacity, long nowNanos) {
    this.preemptor = preemptor;
    this.expected = expected;
    this.freedCapacity = freedCapacity;
    this.nowNanos = nowNanos;
  }

  /**
   * Finds where a step can start after runs have ended that are being stopped, or that the step may
   * preempt.
   *
   * @param later what the step may use once all runs that are being stopped have ended
   */
  Optional<Preemptor.Selection> find(WaitingStep waiting, FleetCapacity later, boolean nearOnly) {
    if (!waiting.step().job().accepted()) {
      return Optional.empty();
    }
    Optional<List<TaskPlacement>> afterStops = place(waiting, later, nearOnly);
    if (afterStops.isPresent()) {
      return Optional.of(new Preemptor.Selection(List.of(), 0, afterStops.get()));
    }
    boolean mayPreempt = waiting.urgent() || waiting.nearlyLate();
    if (!mayPreempt
        || waitsForReliability(waiting, nearOnly)
        || freedCapacity.pauses(waiting, nowNanos)) {
      return Optional.empty();
    }
    return preempt(waiting, later, nearOnly);
  }

  /**
   * Chooses runs to preempt, those on reliable executors first: others may be doubted by the time
   * that the runs have ended.
   */
  private Optional<Preemptor.Selection> preempt(
      WaitingStep waiting, FleetCapacity later, boolean nearOnly) {
    WaitingStep strict = waiting.requiring(waiting.requirement().strict());
    if (!strict.requirement().equals(waiting.requirement())) {
      Optional<Preemptor.Selection> reliable = preemptor.choose(strict, later, nearOnly);
      if (reliable.isPresent()) {
        return reliable;
      }
    }
    return preemptor.choose(waiting, later, nearOnly);
  }

  /**
   * Tells whether a step that has time to wait would fit as soon as the present doubts are settled.
   * That is sooner than preempted work is repeated. Last attempts do not wait.
   */
  private boolean waitsForReliability(WaitingStep waiting, boolean nearOnly) {
    StartRequirement requirement = waiting.requirement();
    boolean mayWait = !requirement.equals(StartRequirement.ANY) && !requirement.proven();
    if (!mayWait || waiting.timing().nearlyLate()) {
      return false;
    }
    WaitingStep soon = waiting.requiring(requirement.expectedSoon());
    return expected.tightestGroup(soon, waiting.tasks().size(), nearOnly).isPresent();
  }

  /**
   * Places all tasks in the group with the least capacity to spare into which they fit; executors
   * that are less reliable are used only if they do not fit elsewhere.
   */
  static Optional<List<TaskPlacement>> place(
      WaitingStep waiting, FleetCapacity capacity, boolean nearOnly) {
    WaitingStep strict = waiting.requiring(waiting.requirement().strict());
    if (!strict.requirement().equals(waiting.requirement())) {
      Optional<List<TaskPlacement>> reliable = placeAsRequired(strict, capacity, nearOnly);
      if (reliable.isPresent()) {
        return reliable;
      }
    }
    return placeAsRequired(waiting, capacity, nearOnly);
  }

  private static Optional<List<TaskPlacement>> placeAsRequired(
      WaitingStep waiting, FleetCapacity capacity, boolean nearOnly) {
    List<TaskProgress> tasks = waiting.tasks();
    return capacity
        .tightestGroup(waiting, tasks.size(), nearOnly)
        .map(group -> FleetCapacity.placeTasks(waiting, tasks, group));
  }
}
