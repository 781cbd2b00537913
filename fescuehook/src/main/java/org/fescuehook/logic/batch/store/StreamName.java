package org.fescuehook.logic.batch.store;

/** The project's own streams in the shared store. */
public enum StreamName {
  /** Claims and heartbeats of the owner. */
  OWNERSHIP,
  /** Jobs and their progress; only the owner writes it. */
  STATE
}
