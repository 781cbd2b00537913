package org.fescuehook.model.batch;

/**
 * A queue of jobs as the operators declared it.
 *
 * @param name its name
 * @param pool name of the pool of executors that run its tasks
 * @param priority priority of its jobs; 0 is the highest, and its jobs may preempt others
 * @param maxAttempts number of failed runs of a task or gang after which its job fails
 * @param deadlineFactor factor by which the duration of the longest chain of steps is multiplied in
 *     {@link #objectiveMillis}
 * @param targetLatencyMillis constant part of the objective
 * @param open whether calls need no API key
 * @param advised whether the advice service decides which executors may run a step
 */
public record JobQueue(
    String name,
    String pool,
    int priority,
    int maxAttempts,
    double deadlineFactor,
    long targetLatencyMillis,
    boolean open,
    boolean advised) {

  /**
   * A job that ends later than this multiple of its objective is of no use to its caller any more.
   */
  public static final int MAX_USEFUL_OBJECTIVES = 3;

  /**
   * Returns the objective: the time within which a job should end.
   *
   * @param chainMillis duration of the longest chain of dependent steps, in milliseconds
   * @return milliseconds from the first submission of the job to its end
   */
  public long objectiveMillis(long chainMillis) {
    return Math.round(chainMillis * deadlineFactor) + targetLatencyMillis;
  }
}
