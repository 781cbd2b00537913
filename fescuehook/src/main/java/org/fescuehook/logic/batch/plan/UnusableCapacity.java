package org.fescuehook.logic.batch.plan;

import java.util.Collection;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;

/**
 * Capacity that this owner cannot use at present: of executors that get no work, and of runs of
 * which it does not know whether they are alive. Users count what is idle there as idle capacity.
 *
 * @param accelerators accelerators of the executors that are not usable
 * @param freeAccelerators those that no known run occupies, and those of runs that may not be alive
 *     on any executor
 * @param milliCores thousandths of a core of the executors that are not usable
 * @param freeMilliCores those that no known run occupies, and those of runs that may not be alive
 *     on any executor
 */
record UnusableCapacity(
    long accelerators, long freeAccelerators, long milliCores, long freeMilliCores) {

  /**
   * Counts the capacity of a pool.
   *
   * @param executors all its executors that count
   * @param unusable selects those that get no work
   */
  static UnusableCapacity of(
      Collection<ExecutorState> executors, Predicate<ExecutorState> unusable) {
    long accelerators = 0;
    long freeAccelerators = 0;
    long milliCores = 0;
    long freeMilliCores = 0;
    for (ExecutorState executor : executors) {
      if (unusable.test(executor)) {
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
    return new UnusableCapacity(accelerators, freeAccelerators, milliCores, freeMilliCores);
  }

  /** Tells whether a run may never have been alive. */
  private static boolean inDoubt(LiveRun run) {
    return !run.seenRunning() && (run.stage() == Stage.STOPPING || run.startUncertain());
  }

  /**
   * Tells whether at least half of a pool is free, both in accelerators and in cores, if what its
   * usable executors have is as given.
   */
  boolean halfFree(
      long usableFreeAccelerators,
      long usableAccelerators,
      long usableFreeMilliCores,
      long usableMilliCores) {
    return 2 * (usableFreeAccelerators + freeAccelerators) >= usableAccelerators + accelerators
        && 2 * (usableFreeMilliCores + freeMilliCores) >= usableMilliCores + milliCores;
  }
}
