package org.fescuehook.logic.batch.admission;

import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;

/** The total capacity of a pool of executors, against which demands are measured. */
final class PoolCapacity {

  private static final double MILLIS_PER_SECOND = 1000;

  private double milliCores;
  private double memoryMegabytes;
  private double accelerators;
  private double coreEquivalents;
  private double usableCoreEquivalents;

  void add(ExecutorState executor, long nowNanos) {
    ResourceVector capacity = executor.profile().capacity();
    milliCores += capacity.milliCores();
    memoryMegabytes += capacity.memoryMegabytes();
    accelerators += capacity.accelerators();
    coreEquivalents += capacity.coreEquivalents();
    if (executor.usable(nowNanos)) {
      usableCoreEquivalents += capacity.coreEquivalents();
    }
  }

  /** Returns the share of the pool on which new runs may be placed. */
  double usableShare() {
    return coreEquivalents == 0 ? 0 : usableCoreEquivalents / coreEquivalents;
  }

  /** Returns the share of the pool that a demand takes of its dominant resource. */
  double share(ResourceVector demand) {
    return Math.max(
        ratio(demand.milliCores(), milliCores),
        Math.max(
            ratio(demand.memoryMegabytes(), memoryMegabytes),
            ratio(demand.accelerators(), accelerators)));
  }

  private static double ratio(double demand, double total) {
    return total == 0 ? 0 : demand / total;
  }

  /** Returns the work of some tasks of a step: seconds for which they occupy the whole pool. */
  double work(BatchStep step, double tasks) {
    return share(step.demand()) * tasks * step.estimateMillis() / MILLIS_PER_SECOND;
  }
}
