package org.fescuehook.logic.trace;

import java.util.OptionalLong;
import org.fescuehook.model.job.Job;

/**
 * Outcome of a job in a replay. Times are milliseconds since the beginning of the trace.
 *
 * @param job the job
 * @param behaviour how it behaves when it runs, according to the trace
 * @param end how it ended
 * @param firstStartMillis when it first ran
 * @param endMillis when it ended
 * @param attempts number of planned attempts
 * @param preemptions number of attempts that were stopped for another job
 * @param lostAcceleratorSeconds work of stopped attempts that was lost
 */
public record JobOutcome(
    Job job,
    JobBehaviour behaviour,
    End end,
    OptionalLong firstStartMillis,
    OptionalLong endMillis,
    int attempts,
    int preemptions,
    double lostAcceleratorSeconds) {

  /** How a job ended. */
  public enum End {
    /** It ran to completion. */
    FINISHED,
    /** It failed as many times as the declared maximum of attempts. */
    GIVEN_UP,
    /** It was cancelled. */
    CANCELLED,
    /** It was refused at submission. */
    REFUSED,
    /** It had not ended when the replay ended. */
    UNFINISHED
  }
}
