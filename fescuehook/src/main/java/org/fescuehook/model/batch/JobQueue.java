package org.fescuehook.model.batch;

/**
 * A queue of jobs as the operators declared it.
 *
 * @param name its name
 * @param pool name of the executors' pool that runs its tasks
 * @param priority 0 comes first and may displace others
 * @param maxAttempts failed runs of a task or gang after which its job has failed
 * @param deadlineFactor the objective is this many times the longest chain of work, and the target
 *     latency
 * @param targetLatencyMillis part of the objective that does not depend on the work
 * @param open whether calls need no key
 * @param advised whether an external service names the executors that may run a step
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

  /** Up to this many times its objective a job is late and still of some use to its caller. */
  public static final int LATEST_OBJECTIVES = 3;

  /**
   * Returns the time that a job may take.
   *
   * @param chainMillis the longest chain of its work, in milliseconds
   * @return milliseconds from its first submission to its end
   */
  public long objectiveMillis(long chainMillis) {
    return Math.round(chainMillis * deadlineFactor) + targetLatencyMillis;
  }
}
