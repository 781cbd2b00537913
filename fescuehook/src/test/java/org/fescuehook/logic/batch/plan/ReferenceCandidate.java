package org.fescuehook.logic.batch.plan;

import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.fleet.Incarnation;

/** An executor and its free capacity while a plan is made. */
final class ReferenceCandidate {

  private final ExecutorState executor;
  private final boolean suspect;
  private ResourceVector free;
  private boolean servesUsers;
  private boolean runsOtherWork;

  /**
   * Creates a candidate.
   *
   * @param suspect whether runs have recently failed or been slow there
   */
  ReferenceCandidate(ExecutorState executor, ResourceVector free, boolean suspect) {
    this.executor = executor;
    this.free = free;
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
    ReferenceCandidate copy = new ReferenceCandidate(executor, free, suspect);
    copy.servesUsers = servesUsers;
    copy.runsOtherWork = runsOtherWork;
    return copy;
  }

  /**
   * Tells whether a step may run here at all, regardless of capacity. A step that has failed avoids
   * the executors on which it failed and suspect ones, since it has few attempts left. Gangs avoid
   * suspect executors, since one slow member delays all others.
   */
  boolean isEligible(WaitingStep waiting) {
    StepProgress step = waiting.step();
    boolean avoided = suspect && (step.hasFailed() || step.spec().gang());
    Incarnation incarnation = executor.incarnation();
    if (avoided || step.failedOn(incarnation) || !waiting.permits(incarnation)) {
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
