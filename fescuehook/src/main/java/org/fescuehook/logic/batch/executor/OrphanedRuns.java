package org.fescuehook.logic.batch.executor;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.fleet.ExecutorId;

/** Runs of former owners whose executors are not listed, kept until their leases have expired. */
final class OrphanedRuns {

  private final long lostAt;
  private final Map<ExecutorId, List<LiveRun>> runs = new LinkedHashMap<>();

  /**
   * Creates an empty collection.
   *
   * @param lostAt when the leases of former owners have certainly expired, monotonic time
   */
  OrphanedRuns(long lostAt) {
    this.lostAt = lostAt;
  }

  void add(LiveRun run) {
    runs.computeIfAbsent(run.executor(), id -> new ArrayList<>()).add(run);
  }

  boolean contains(LiveRun run) {
    return runs.getOrDefault(run.executor(), List.of()).contains(run);
  }

  /** Removes and returns the runs of an executor that has been listed. */
  List<LiveRun> take(ExecutorId id) {
    List<LiveRun> ofExecutor = runs.remove(id);
    return ofExecutor == null ? List.of() : ofExecutor;
  }

  /** Removes and returns the runs that must have ended because their leases have expired. */
  List<LiveRun> takeLost(long nowNanos) {
    if (runs.isEmpty() || nowNanos - lostAt < 0) {
      return List.of();
    }
    List<LiveRun> lost = runs.values().stream().flatMap(List::stream).toList();
    runs.clear();
    return lost;
  }
}
