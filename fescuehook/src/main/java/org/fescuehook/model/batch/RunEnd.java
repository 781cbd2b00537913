package org.fescuehook.model.batch;

/** How a run of a task ended. */
public enum RunEnd {
  /** It did its work. */
  DONE,
  /** It failed, by its own fault or the executor's. */
  FAILED,
  /** It was told to stop. */
  STOPPED,
  /** Its lease expired. */
  LEASE_EXPIRED,
  /** Another member of its gang ended. */
  GANG_BROKEN,
  /** The other members of its gang did not come in time. */
  GANG_INCOMPLETE
}
