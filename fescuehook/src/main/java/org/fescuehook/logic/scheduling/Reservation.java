package org.fescuehook.logic.scheduling;

import org.fescuehook.model.job.Shape;

/**
 * A reservation of future capacity for a blocked job, from the time at which its shape is expected
 * to be free.
 *
 * @param job the job
 * @param secondsUntilFree expected time until the shape is free
 * @param unreserved capacity on each worker that other jobs may use beyond that time
 */
record Reservation(Candidate job, double secondsUntilFree, WorkerCapacities unreserved) {

  /** Returns whether a job that starts now would still run when the reservation begins. */
  boolean overlaps(double remainingSeconds) {
    return remainingSeconds > secondsUntilFree;
  }

  /**
   * Subtracts the capacity of a job that starts now, if it would still run when the reservation
   * begins.
   */
  void jobStarted(Shape shape, int[] workers, double remainingSeconds) {
    if (overlaps(remainingSeconds)) {
      unreserved.subtract(workers, shape.perMember());
    }
  }
}
