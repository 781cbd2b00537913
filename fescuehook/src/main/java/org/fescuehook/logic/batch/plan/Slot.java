package org.fescuehook.logic.batch.plan;

import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.model.batch.BatchStep;
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

  /** Tells whether the step may run here at all, room aside. */
  boolean suits(BatchStep step, String pool) {
    boolean labelled =
        step.placement()
            .label()
            .map(label -> executor.profile().labels().contains(label))
            .orElse(true);
    return labelled && executor.profile().pool().equals(pool);
  }
}
