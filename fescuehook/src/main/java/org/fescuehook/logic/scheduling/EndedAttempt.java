package org.fescuehook.logic.scheduling;

import java.util.Optional;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.Placement;

/**
 * An ended attempt, with the data that the policy's statistics use.
 *
 * @param job the job
 * @param placement where it ran
 * @param ranSeconds how long this attempt ran
 * @param keptSeconds run time of earlier attempts that checkpoints saved
 * @param result how it ended
 * @param blamed worker whose member failed, if known
 * @param endedMillis when it ended, milliseconds since 1970
 */
public record EndedAttempt(
    Job job,
    Placement placement,
    long ranSeconds,
    long keptSeconds,
    Result result,
    Optional<WorkerId> blamed,
    long endedMillis) {

  /** How an attempt ended. */
  public enum Result {
    /** The job finished. */
    FINISHED,
    /** A member failed on its own. */
    FAILED,
    /** The attempt was stopped, lost its worker or never started. */
    STOPPED
  }
}
