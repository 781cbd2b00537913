package org.fescuehook.standins.worker;

/**
 * An event of a lease, or a rejected request for one.
 *
 * @param at time of the event, in monotonic milliseconds
 * @param lease id of the lease; empty for {@link Kind#REFUSED}
 * @param key key in the request for the lease, {@code <attempt>/<member>}
 * @param job name of the job; empty before the start of the task
 * @param accelerators number of accelerators that the lease holds, or that were requested
 */
public record WorkerEvent(
    long at, String worker, Kind kind, String lease, String key, String job, int accelerators) {

  /** Kinds of events. */
  public enum Kind {
    /** A request for a lease was rejected. */
    REFUSED,
    /** A lease on resources was granted. */
    GRANTED,
    /** The task was started. */
    STARTED,
    /** The task ended by itself with exit code 0. */
    FINISHED,
    /** The task ended by itself with another exit code. */
    FAILED,
    /** The task was checkpointed and stopped. */
    CHECKPOINTED,
    /** The holder released the lease. */
    RELEASED,
    /** The lease expired because it was not renewed in time. */
    LAPSED
  }

  String attempt() {
    return key.substring(0, Math.max(0, key.lastIndexOf('/')));
  }
}
