package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * The executors known to the owner: listed ones, and unlisted ones on which runs may still be
 * alive.
 */
public final class ExecutorRegistry {

  /** Time after a confirmed cancel within which callers expect the tasks of the job to be gone. */
  private static final long CANCEL_CONFIRMATION_NANOS = Duration.ofMillis(3200).toNanos();

  private final Map<ExecutorId, ExecutorState> executors = new LinkedHashMap<>();

  /** Finds an executor. */
  public Optional<ExecutorState> find(ExecutorId id) {
    return Optional.ofNullable(executors.get(id));
  }

  /** Tells whether an executor is listed. */
  public boolean listed(ExecutorId id) {
    return find(id).filter(ExecutorState::listed).isPresent();
  }

  /** Adds an executor. */
  public void add(ExecutorState executor) {
    executors.put(executor.profile().id(), executor);
  }

  /** Removes an executor that has no live runs. */
  public void remove(ExecutorState executor) {
    executors.remove(executor.profile().id(), executor);
  }

  /** Returns all executors. */
  public Collection<ExecutorState> all() {
    return executors.values();
  }

  /** Tells whether most executors are silent, so that the cause is on the side of this VM. */
  boolean mostAreSilent() {
    long silent =
        executors.values().stream().filter(executor -> executor.silentSince().isPresent()).count();
    return silent * 2 > executors.size();
  }

  /** Returns a copy of all executors, for loops that remove some. */
  public List<ExecutorState> snapshot() {
    return List.copyOf(executors.values());
  }

  /**
   * Tells whether a run ends soon even if this owner fails: its executor has confirmed the stop, or
   * has been silent for so long that its leases are about to expire.
   */
  public boolean endsSoon(LiveRun run, long nowNanos) {
    return run.stopAcknowledged()
        || find(run.executor())
            .filter(
                executor -> executor.lease().expiryNanos() - nowNanos <= CANCEL_CONFIRMATION_NANOS)
            .isPresent();
  }
}
