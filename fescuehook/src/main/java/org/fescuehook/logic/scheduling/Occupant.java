package org.fescuehook.logic.scheduling;

import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;

/**
 * A live attempt with the numbers of its workers.
 *
 * @param running the attempt
 * @param workers worker of each member, by number; -1 for a worker that is not declared
 * @param guaranteed whether it runs within its organisation's guarantees
 * @param leftSeconds expected time to its end
 */
record Occupant(RunningAttempt running, int[] workers, boolean guaranteed, double leftSeconds) {

  private static final double RESTART_SECONDS = 60;

  /** Returns the accelerator seconds lost by stopping it; a core counts as a small part. */
  double stopCost(long nowMillis) {
    double lost = RESTART_SECONDS;
    if (!running.job().checkpointable()) {
      lost += Math.max(0, nowMillis - running.startedMillis()) / 1000.0;
    }
    return lost * size();
  }

  /** Returns accelerators and, for work without them, a small part for each core. */
  double size() {
    var shape = running.job().shape();
    return shape.accelerators() + 0.01 * shape.members() * shape.perMember().cores();
  }
}
