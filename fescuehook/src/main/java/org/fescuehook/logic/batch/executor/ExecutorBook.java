package org.fescuehook.logic.batch.executor;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.model.fleet.ExecutorId;

/** The executors that the owner knows of: listed ones, and unlisted ones that may still run. */
public final class ExecutorBook {

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
}
