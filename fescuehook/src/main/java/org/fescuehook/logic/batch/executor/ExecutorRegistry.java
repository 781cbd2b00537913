package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.fleet.ExecutorId;

/** The executors that the owner knows of: listed ones, and unlisted ones that may still run. */
public final class ExecutorRegistry {

  /** Time after the confirmation of a cancel in which callers expect the job's tasks gone. */
  private static final long SOON_NANOS = Duration.ofMillis(3200).toNanos();

  private final Map<ExecutorId, ExecutorState> executors = new LinkedHashMap<>();

  /** Finds an executor. */
  public Optional<ExecutorState> find(ExecutorId id) {
    return Optional.ofNullable(executors.get(id));
  }

  /** Adds an executor. */
  public void add(ExecutorState executor) {
    executors.put(executor.profile().id(), executor);
  }

  /** Removes an executor on which nothing can run. */
  public void remove(ExecutorState executor) {
    executors.remove(executor.profile().id(), executor);
  }

  /** Returns all executors. */
  public Collection<ExecutorState> all() {
    return executors.values();
  }

  /** Returns all executors as a copy, for loops that remove some. */
  public List<ExecutorState> snapshot() {
    return List.copyOf(executors.values());
  }

  /**
   * Tells whether a run ends soon whatever becomes of this owner: its executor has taken the stop,
   * or has not answered for so long that its leases are nearly over.
   */
  public boolean endsSoon(LiveRun run, long nowNanos) {
    return run.stopTaken()
        || find(run.executor())
            .filter(executor -> executor.lease().untilNanos() - nowNanos <= SOON_NANOS)
            .isPresent();
  }
}
