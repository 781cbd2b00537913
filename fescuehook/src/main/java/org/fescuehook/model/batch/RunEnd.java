package org.fescuehook.model.batch;

/** How a run of a task ended. */
public enum RunEnd {
  /** The run completed its work. */
  DONE,
  /** The run failed, by its own fault or that of the executor. */
  FAILED,
  /** The run was stopped by an order. */
  STOPPED,
  /** The lease expired. */
  LEASE_EXPIRED,
  /** Another member of the gang ended. */
  GANG_BROKEN,
  /** The other members of the gang did not start in time. */
  GANG_INCOMPLETE
}
