package org.fescuehook.model.batch;

/** What a caller is told of a job. */
public enum JobPhase {
  /** Accepted; no task was started. */
  QUEUED,
  /** A task was started. */
  IN_PROGRESS,
  /** All tasks are done. */
  COMPLETED,
  /** A task or a gang failed as often as its queue allows. */
  FAILED,
  /** Its caller cancelled it. */
  CANCELLED;

  /** Tells whether nothing more will run. */
  public boolean ended() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
