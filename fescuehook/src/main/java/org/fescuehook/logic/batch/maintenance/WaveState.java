package org.fescuehook.logic.batch.maintenance;

/** The state of a wave that operators are told. */
public enum WaveState {
  /** Some machines have not begun their maintenance. */
  IN_PROGRESS,
  /** Each machine that still exists has begun its maintenance. */
  COMPLETED
}
