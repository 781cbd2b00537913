package org.fescuehook.logic.batch.plan;

import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.Demand;

/** Room on one executor while a plan is made. */
final class Slot {

  private final ExecutorState executor;
  private Demand free;

  Slot(ExecutorState executor, Demand free) {
    this.executor = executor;
    this.free = free;
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
    return new Slot(executor, free);
  }

  /**
   * Tells whether the step may run here at all, room aside. A step that has failed avoids where it
   * failed, and where anything has failed since the last run was done: it has few attempts left.
   */
  boolean suits(StepProgress step, String pool) {
    boolean avoided = step.hasFailed() && executor.suspect();
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
