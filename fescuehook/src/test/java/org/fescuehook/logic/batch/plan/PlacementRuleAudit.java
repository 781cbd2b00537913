package org.fescuehook.logic.batch.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.model.batch.BatchStep.PlacementRule;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.TaskName;

/**
 * Checks the starts of a whole plan against the placement rules and the capacity of the executors,
 * as if all of them had taken effect. It uses none of the planner's own counts.
 */
final class PlacementRuleAudit {

  private PlacementRuleAudit() {}

  static void check(List<TaskPlacement> starts, List<WaitingStep> waiting) {
    Map<ExecutorState, List<TaskName>> tasks = new HashMap<>();
    Map<ExecutorState, ResourceVector> free = new HashMap<>();
    for (TaskPlacement start : starts) {
      ExecutorState executor = start.executor();
      checkExecutor(start, waiting);
      free.merge(executor, executor.free(), (earlier, same) -> earlier);
      assertTrue(free.get(executor).contains(start.step().spec().demand()), "over the capacity");
      free.compute(executor, (same, left) -> left.minus(start.step().spec().demand()));
      tasks
          .computeIfAbsent(executor, PlacementRuleAudit::runningTasks)
          .add(start.step().name(start.task()));
    }
    starts.forEach(start -> checkLimit(start, tasks.get(start.executor())));
  }

  private static List<TaskName> runningTasks(ExecutorState executor) {
    List<TaskName> tasks = new ArrayList<>();
    executor.runs().forEach(run -> tasks.add(run.run().task()));
    return tasks;
  }

  private static void checkExecutor(TaskPlacement start, List<WaitingStep> waiting) {
    WaitingStep step =
        waiting.stream()
            .filter(group -> group.tasks().contains(start.task()))
            .findFirst()
            .orElseThrow();
    ExecutorState executor = start.executor();
    assertEquals(step.pool(), executor.profile().pool());
    assertTrue(step.permits(executor.incarnation()), "not permitted by external advice");
    start
        .step()
        .spec()
        .placement()
        .label()
        .ifPresent(label -> assertTrue(executor.profile().labels().contains(label), label));
  }

  private static void checkLimit(TaskPlacement start, List<TaskName> there) {
    PlacementRule rule = start.step().spec().placement();
    TaskName placed = start.step().name(start.task());
    long ofStep =
        there.stream()
            .filter(task -> task.job().equals(placed.job()))
            .filter(task -> task.occurrence() == placed.occurrence())
            .filter(task -> task.step() == placed.step())
            .count();
    assertTrue(
        rule.maxPerExecutor() == 0 || ofStep <= rule.maxPerExecutor(),
        () -> ofStep + " tasks of the step, limit " + rule.maxPerExecutor());
  }
}
