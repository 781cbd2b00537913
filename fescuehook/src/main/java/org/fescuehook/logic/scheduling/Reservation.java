package org.fescuehook.logic.scheduling;

import org.fescuehook.model.job.Shape;

/**
 * Room that is kept for a blocked job from the time on at which its shape is expected to be free.
 *
 * @param job the job
 * @param inSeconds time until then
 * @param late what other jobs may use of each worker beyond that time
 */
record Reservation(Candidate job, double inSeconds, WorkerCapacities late) {

  /** Tells whether a job that starts now must keep off the reserved room. */
  boolean binds(double leftSeconds) {
    return leftSeconds > inSeconds;
  }

  /** Counts a job that starts now. */
  void started(Shape shape, int[] workers, double leftSeconds) {
    if (binds(leftSeconds)) {
      late.take(workers, shape.perMember());
    }
  }
}
