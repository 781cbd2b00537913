package org.fescuehook.logic.trace;

import java.util.OptionalLong;
import org.fescuehook.model.job.Job;

/**
 * What became of a job in a replay. Times are milliseconds since the beginning of the trace.
 *
 * @param job the job
 * @param course what was to become of it
 * @param end how it ended
 * @param firstStartMillis when it first ran
 * @param endMillis when it ended
 * @param attempts attempts that were planned
 * @param preemptions attempts that were stopped for another job
 * @param lostAcceleratorSeconds work of stopped attempts that was not kept
 */
public record JobOutcome(
    Job job,
    JobBehaviour course,
    End end,
    OptionalLong firstStartMillis,
    OptionalLong endMillis,
    int attempts,
    int preemptions,
    double lostAcceleratorSeconds) {

  /** How a job ended. */
  public enum End {
    /** It ran to its end. */
    FINISHED,
    /** It failed on as many workers as declared. */
    GIVEN_UP,
    /** It was cancelled. */
    CANCELLED,
    /** It was refused at submission. */
    REFUSED,
    /** The replay ended before it. */
    UNFINISHED
  }
}
