package org.fescuehook.logic.scheduling;

import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;

/**
 * A live attempt with the data that a plan needs about it.
 *
 * @param running the attempt
 * @param workers number of the worker of each member; -1 for a worker that is no longer declared
 * @param guaranteed whether its organisation's guarantees cover it
 * @param remainingSeconds expected time until it ends
 */
record PlacedAttempt(
    RunningAttempt running, int[] workers, boolean guaranteed, double remainingSeconds) {

  private static final double RESTART_SECONDS = 60;
  private static final double CORE_WEIGHT = 0.01;

  /**
   * Returns the accelerator seconds lost by stopping the attempt: the time of a restart and, if it
   * cannot be checkpointed, its run time so far.
   */
  double stopCost(long nowMillis) {
    double lost = RESTART_SECONDS;
    if (!running.job().checkpointable()) {
      lost += Math.max(0, nowMillis - running.startedMillis()) / 1000.0;
    }
    return lost * size();
  }

  /**
   * Returns the size in accelerators; each core counts as {@link #CORE_WEIGHT} accelerators, so
   * that jobs without accelerators have a size too.
   */
  double size() {
    var shape = running.job().shape();
    return shape.accelerators() + CORE_WEIGHT * shape.members() * shape.perMember().cores();
  }
}
