package org.fescuehook.standins.worker;

/**
 * Something that happened to a lease.
 *
 * @param at when, in monotonic milliseconds
 * @param lease the lease, empty for a refused grant
 * @param key the key that it was asked for with, {@code <attempt>/<member>}
 * @param job the job, empty before the start
 * @param accelerators how many accelerators it holds, or asked for
 */
public record WorkerEvent(
    long at, String worker, Kind kind, String lease, String key, String job, int accelerators) {

  /** Kinds of events. */
  public enum Kind {
    /** A lease was asked for and not given. */
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

  String attempt() {
    return key.substring(0, Math.max(0, key.lastIndexOf('/')));
  }
}
