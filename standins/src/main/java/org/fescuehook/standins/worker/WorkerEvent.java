package org.fescuehook.standins.worker;

/**
 * Something that happened to a lease.
 *
 * @param at when, by the machine's monotonic clock, in milliseconds
 * @param worker on which worker
 * @param kind what happened
 * @param lease the lease, empty for a refused grant
 * @param key the key that the lease was asked for with, {@code <attempt>/<member>}
 * @param job the job, empty before the start
 * @param accelerators how many accelerators the lease holds, or asked for
 */
public record WorkerEvent(
    long at, String worker, Kind kind, String lease, String key, String job, int accelerators) {

  /** Kinds of events. */
  public enum Kind {
    /** A request for a lease was refused. */
    REFUSED,
    /** Resources are held. */
    GRANTED,
    /** The task runs. */
    STARTED,
    /** The task ended by itself with exit code 0. */
    FINISHED,
    /** The task ended by itself with another exit code. */
    FAILED,
    /** The task was saved and stopped. */
    CHECKPOINTED,
    /** The holder released the lease. */
    RELEASED,
    /** The lease was not renewed in time. */
    LAPSED
  }
}
