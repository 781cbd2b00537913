package org.fescuehook.standins.platform;

/**
 * An event in the execution of a task's run on an executor.
 *
 * @param kind what happened
 * @param executor id of the executor, which several of its incarnations may share
 * @param bornMillis start time of the executor's incarnation, in milliseconds since 1970
 * @param task name of the task; empty for {@link Kind#LAPSED}, which concerns all runs on the
 *     executor
 * @param run number of the run
 * @param detail specification of the job for a start, kind of the ending for an end, otherwise
 *     empty
 * @param atMillis time of the event, in monotonic milliseconds
 */
public record RunEvent(
    Kind kind,
    String executor,
    long bornMillis,
    String task,
    int run,
    String detail,
    long atMillis) {

  /** Kinds of events. */
  public enum Kind {
    /** The run has started. */
    STARTED,
    /** The run has started from an order that was delayed for seconds; follows {@link #STARTED}. */
    STARTED_LATE,
    /** The order to start the run has arrived and is delayed. */
    HELD,
    /** The delayed order was dropped, since the executor that held it has crashed. */
    DROPPED,
    /** The run has ended, and polls report its end until it is acknowledged. */
    ENDED,
    /** The scheduler has acknowledged the end of the run. */
    ACKNOWLEDGED,
    /** The executor's lease has expired while runs were active or ends not acknowledged. */
    LAPSED,
    /** The executor has crashed and the run with it; no poll reports its end. */
    CRASHED
  }
}
