package org.fescuehook.logic.batch.plan;

import java.util.HashMap;
import java.util.Map;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;

/**
 * The tasks that a plan has placed so far, by executor and step. Executors do not show them until
 * the plan is complete.
 */
final class PlannedTasks {

  private final Map<ExecutorState, Map<StepProgress, Integer>> counts = new HashMap<>();

  /** Adds a placement of the plan. */
  void add(TaskPlacement placement) {
    counts
        .computeIfAbsent(placement.executor(), executor -> new HashMap<>())
        .merge(placement.step(), 1, Integer::sum);
  }

  /** Returns how many tasks of a step the plan has placed on an executor. */
  int count(StepProgress step, ExecutorState executor) {
    return counts.getOrDefault(executor, Map.of()).getOrDefault(step, 0);
  }
}
