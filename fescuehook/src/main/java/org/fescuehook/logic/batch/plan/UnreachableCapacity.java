package org.fescuehook.logic.batch.plan;

import java.util.Collection;
import java.util.List;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;

/**
 * Capacity of executors in service that this owner cannot use at present, as they do not answer or
 * it does not know what became of a run there. Users count what is idle there as idle capacity.
 *
 * @param accelerators accelerators of the executors that do not answer
 * @param freeAccelerators those that no known run occupies, and those of runs that may not be alive
 *     on any executor
 * @param milliCores thousandths of a core of the executors that do not answer
 * @param freeMilliCores those that no known run occupies, and those of runs that may not be alive
 *     on any executor
 */
record UnreachableCapacity(
    long accelerators, long freeAccelerators, long milliCores, long freeMilliCores) {

  static final UnreachableCapacity NONE = new UnreachableCapacity(0, 0, 0, 0);

  static UnreachableCapacity of(Collection<ExecutorState> executors) {
    long accelerators = 0;
    long freeAccelerators = 0;
    long milliCores = 0;
    long freeMilliCores = 0;
    for (ExecutorState executor : executors) {
      if (executor.silent()) {
        accelerators += executor.profile().capacity().accelerators();
        freeAccelerators += executor.free().accelerators();
        milliCores += executor.profile().capacity().milliCores();
        freeMilliCores += executor.free().milliCores();
      }
      for (LiveRun run : executor.runs()) {
        if (inDoubt(run)) {
          freeAccelerators += run.demand().accelerators();
          freeMilliCores += run.demand().milliCores();
        }
      }
    }
    return new UnreachableCapacity(accelerators, freeAccelerators, milliCores, freeMilliCores);
  }

  /** Tells whether a run may never have been alive. */
  private static boolean inDoubt(LiveRun run) {
    return !run.seenRunning() && (run.stage() == Stage.STOPPING || run.startUncertain());
  }

  /**
   * Tells whether more than half of a pool is free, both in accelerators and in cores, if what its
   * usable executors have is as given.
   */
  boolean mostFree(
      long usableFreeAccelerators,
      long usableAccelerators,
      long usableFreeMilliCores,
      long usableMilliCores) {
    return 2 * (usableFreeAccelerators + freeAccelerators) > usableAccelerators + accelerators
        && 2 * (usableFreeMilliCores + freeMilliCores) > usableMilliCores + milliCores;
  }

  /** Selects the executors that are in service. */
  static List<ExecutorState> inService(Collection<ExecutorState> executors) {
    return executors.stream().filter(ExecutorState::inService).toList();
  }
}
