package org.fescuehook.model.batch;

/** The state of a job as reported to callers. */
public enum JobPhase {
  /** The job is accepted; no task was started. */
  QUEUED,
  /** At least one task was started. */
  IN_PROGRESS,
  /** All tasks are done. */
  COMPLETED,
  /** A task or a gang used up the attempts that its queue allows. */
  FAILED,
  /** The caller cancelled the job. */
  CANCELLED;

  /** Returns whether the state is final, so that no task is started any more. */
  public boolean ended() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
