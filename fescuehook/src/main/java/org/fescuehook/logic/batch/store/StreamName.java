package org.fescuehook.logic.batch.store;

/** The streams of the scheduler in the shared store. */
public enum StreamName {
  /** Claims and heartbeats of owners. */
  OWNERSHIP,
  /** Jobs and their progress, written by the owner only. */
  STATE,
  /** States of maintenance waves, written by the owner for operators. */
  STATUS
}
