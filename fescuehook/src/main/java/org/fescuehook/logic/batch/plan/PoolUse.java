package org.fescuehook.logic.batch.plan;

import java.util.Collection;
import java.util.List;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;

/**
 * What is in use of a pool as users count it: of all listed executors, usable or not, what the runs
 * occupy that have started there.
 *
 * @param executors the listed executors of the pool
 * @param accelerators all accelerators
 * @param acceleratorsInUse those that runs occupy
 * @param milliCores all thousandths of a core
 * @param milliCoresInUse those that runs occupy
 * @param usableFreeAccelerators accelerators of the usable executors that are not reserved
 */
record PoolUse(
    List<ExecutorState> executors,
    long accelerators,
    long acceleratorsInUse,
    long milliCores,
    long milliCoresInUse,
    long usableFreeAccelerators) {

  static PoolUse of(String pool, Collection<ExecutorState> executors, long nowNanos) {
    List<ExecutorState> listed =
        executors.stream()
            .filter(executor -> executor.listed() && executor.profile().pool().equals(pool))
            .toList();
    long accelerators = 0;
    long acceleratorsInUse = 0;
    long milliCores = 0;
    long milliCoresInUse = 0;
    long usableFree = 0;
    for (ExecutorState executor : listed) {
      accelerators += executor.profile().capacity().accelerators();
      milliCores += executor.profile().capacity().milliCores();
      usableFree += executor.usable(nowNanos) ? executor.free().accelerators() : 0;
      for (LiveRun run : executor.runs()) {
        if (hasStarted(run)) {
          acceleratorsInUse += run.demand().accelerators();
          milliCoresInUse += run.demand().milliCores();
        }
      }
    }
    return new PoolUse(
        listed, accelerators, acceleratorsInUse, milliCores, milliCoresInUse, usableFree);
  }

  /** Tells whether a run is known to have started; one of a former owner counts as such. */
  static boolean hasStarted(LiveRun run) {
    return run.seenRunning() || run.stage() == Stage.INHERITED;
  }

  /** Tells whether at most half is in use, both of the accelerators and of the cores. */
  boolean atMostHalfInUse() {
    return 2 * acceleratorsInUse <= accelerators && 2 * milliCoresInUse <= milliCores;
  }
}
