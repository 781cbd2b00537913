package org.fescuehook.logic.batch.plan;

import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.fleet.Incarnation;

/** Room on one executor while a plan is made. */
final class ReferenceCandidate {

  private final ExecutorState executor;
  private final boolean suspect;
  private Demand free;
  private boolean serving;
  private boolean filling;

  /**
   * Creates a slot.
   *
   * @param suspect whether runs have lately failed there or hardly progressed
   */
  ReferenceCandidate(ExecutorState executor, Demand free, boolean suspect) {
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

  Demand free() {
    return free;
  }

  /** Takes room for a task of a step. */
  void take(BatchStep step) {
    free = free.minus(step.demand());
    holds(step);
  }

  /** Remembers that a task of a step is here. */
  void holds(BatchStep step) {
    serving |= step.serves();
    filling |= !step.serves();
  }

  /** Tells whether other work here would lengthen response times: this step's, or by this step. */
  boolean disturbs(BatchStep step) {
    return step.serves() ? filling : serving;
  }

  void give(Demand demand) {
    free = free.plus(demand);
  }

  ReferenceCandidate copy() {
    ReferenceCandidate copy = new ReferenceCandidate(executor, free, suspect);
    copy.serving = serving;
    copy.filling = filling;
    return copy;
  }

  /**
   * Tells whether the step may run here at all, room aside. A step that has failed avoids where it
   * failed, and suspects: it has few attempts left. Gangs avoid suspects, since one would hold all
   * members up.
   */
  boolean suits(WaitingStep waiting) {
    StepProgress step = waiting.step();
    boolean avoided = suspect && (step.hasFailed() || step.spec().gang());
    Incarnation life = executor.incarnation();
    if (avoided || step.failedOn(life) || !waiting.permits(life)) {
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
