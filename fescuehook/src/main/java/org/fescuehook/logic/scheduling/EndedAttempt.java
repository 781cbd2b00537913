package org.fescuehook.logic.scheduling;

import java.util.Optional;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.Placement;

/**
 * An attempt that ended, as far as the policy learns from it.
 *
 * @param job the job
 * @param placement where it ran
 * @param ranSeconds how long this attempt ran
 * @param keptSeconds progress kept by checkpoints of earlier attempts
 * @param result how it ended
 * @param blamed worker whose member failed, where one is known
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
    /** The job finished with it. */
    FINISHED,
    /** A member failed by itself. */
    FAILED,
    /** It was stopped, lost its worker or never started. */
    STOPPED
  }
}
