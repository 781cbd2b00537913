package org.fescuehook.logic.batch.plan;

import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.Demand;

/** Room on one executor while a plan is made. */
final class Slot {

  private final ExecutorState executor;
  private final boolean suspect;
  private Demand free;

  /**
   * Creates a slot.
   *
   * @param suspect whether runs have lately failed there or hardly progressed
   */
  Slot(ExecutorState executor, Demand free, boolean suspect) {
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

  void take(Demand demand) {
    free = free.minus(demand);
  }

  void give(Demand demand) {
    free = free.plus(demand);
  }

  Slot copy() {
    return new Slot(executor, free, suspect);
  }

  /**
   * Tells whether the step may run here at all, room aside. A step that has failed avoids where it
   * failed, and suspects: it has few attempts left. Gangs avoid suspects, since one would hold all
   * members up.
   */
  boolean suits(StepProgress step, String pool) {
    boolean avoided = suspect && (step.hasFailed() || step.spec().gang());
    if (avoided || step.failedOn(executor.profile().id())) {
      return false;
    }
    boolean labelled =
        step.spec()
            .placement()
            .label()
            .map(label -> executor.profile().labels().contains(label))
            .orElse(true);
    return labelled && executor.profile().pool().equals(pool);
  }
}
