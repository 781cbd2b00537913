package org.fescuehook.logic.batch.plan;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.Incarnation;

/** An executor and its free capacity while a plan is made. */
final class ReferenceCandidate {

  private final ExecutorState executor;
  private final List<TaskPlacement> planned;
  private final boolean suspect;
  private ResourceVector free;
  private boolean servesUsers;
  private boolean runsOtherWork;

  /**
   * Creates a candidate.
   *
   * @param planned all placements of the plan so far
   * @param suspect whether runs have recently failed or been slow there
   */
  ReferenceCandidate(
      ExecutorState executor, ResourceVector free, List<TaskPlacement> planned, boolean suspect) {
    this.executor = executor;
    this.free = free;
    this.planned = planned;
    this.suspect = suspect;
  }

  boolean suspect() {
    return suspect;
  }

  ExecutorState executor() {
    return executor;
  }

  ResourceVector free() {
    return free;
  }

  /**
   * Returns how many tasks of a step would be on the executor if every placement of the plan had
   * taken effect, by the names of the tasks.
   */
  int tasksOf(StepProgress step) {
    Set<TaskName> tasks = new HashSet<>();
    executor.runs().forEach(run -> tasks.add(run.run().task()));
    planned.stream()
        .filter(placement -> placement.executor() == executor)
        .forEach(placement -> tasks.add(placement.step().name(placement.task())));
    return (int) tasks.stream().filter(task -> isOf(step, task)).count();
  }

  private static boolean isOf(StepProgress step, TaskName task) {
    return task.job().equals(step.job().job().id())
        && task.occurrence() == step.occurrence()
        && task.step() == step.number();
  }

  /** Reserves capacity for a task. */
  void reserve(BatchStep step) {
    free = free.minus(step.demand());
    addWork(step);
  }

  /** Records that a task of a step is on the executor. */
  void addWork(BatchStep step) {
    servesUsers |= step.servesUsers();
    runsOtherWork |= !step.servesUsers();
  }

  /**
   * Tells whether sharing the executor would lengthen the response times of the step, or of tasks
   * that are here.
   */
  boolean interferesWith(BatchStep step) {
    return step.servesUsers() ? runsOtherWork : servesUsers;
  }

  void release(ResourceVector demand) {
    free = free.plus(demand);
  }

  ReferenceCandidate copy() {
    ReferenceCandidate copy = new ReferenceCandidate(executor, free, planned, suspect);
    copy.servesUsers = servesUsers;
    copy.runsOtherWork = runsOtherWork;
    return copy;
  }

  /** Tells whether a step may run here at all, regardless of capacity. */
  boolean isEligible(WaitingStep waiting) {
    StepProgress step = waiting.step();
    Incarnation incarnation = executor.incarnation();
    boolean avoided = waiting.avoidance().avoids(incarnation, suspect);
    if (avoided || !waiting.permits(incarnation)) {
      return false;
    }
    boolean labelled =
        step.spec()
            .placement()
            .label()
            .map(label -> executor.profile().labels().contains(label))
            .orElse(true);
    return labelled && executor.profile().pool().equals(waiting.pool());
  }
}
