package org.fescuehook.model.batch;

import java.util.Optional;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * A machine as the platform lists it.
 *
 * @param executor the executor that it runs; absent if the platform names none
 */
public record Machine(MachineId id, State state, Optional<ExecutorId> executor) {

  /** What a machine does at present. */
  public enum State {
    /** It runs its executor. */
    UP,
    /** Its executor is leaving. */
    LEAVING,
    /** It is under maintenance. */
    IN_MAINTENANCE,
    /** It does not run. */
    DOWN
  }

  /** Tells whether it runs its executor and stays. */
  public boolean up() {
    return state == State.UP;
  }

  /** Tells whether it is up with the given executor. */
  public boolean runs(ExecutorId id) {
    return up() && executor.filter(id::equals).isPresent();
  }
}
