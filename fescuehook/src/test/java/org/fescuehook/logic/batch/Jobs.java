package org.fescuehook.logic.batch;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;

/** Steps and submissions for tests. */
final class Jobs {

  private Jobs() {}

  static BatchStep tasks(int count, int accelerators, long millis) {
    return step(count, accelerators, millis, List.of(), false, false);
  }

  static BatchStep checkpointed(int count, int accelerators, long millis) {
    return step(count, accelerators, millis, List.of(), true, false);
  }

  static BatchStep gang(int count, int accelerators, long millis) {
    return step(count, accelerators, millis, List.of(), false, true);
  }

  /**
   * Returns tasks that run until their job is cancelled.
   *
   * @param mostAway number of tasks that the scheduler may stop or move at the same time
   * @param targetMillis response time target of each task; 0 if the tasks serve no users
   */
  static BatchStep longRunning(int count, int accelerators, int mostAway, long targetMillis) {
    return new BatchStep(
        count,
        new ResourceVector(4_000, 16_000, accelerators),
        0,
        List.of(),
        BatchStep.PlacementRule.ANYWHERE,
        false,
        false,
        "image",
        Optional.of(new BatchStep.LongRunning(mostAway, targetMillis)));
  }

  static BatchStep after(BatchStep step, Integer... earlier) {
    return new BatchStep(
        step.count(),
        step.demand(),
        step.estimateMillis(),
        List.of(earlier),
        step.placement(),
        step.checkpointing(),
        step.gang(),
        step.image());
  }

  /** Returns the same step with rules for the placement of its tasks. */
  static BatchStep placed(BatchStep step, BatchStep.PlacementRule rule) {
    return new BatchStep(
        step.count(),
        step.demand(),
        step.estimateMillis(),
        step.dependsOn(),
        rule,
        step.checkpointing(),
        step.gang(),
        step.image(),
        step.longRunning());
  }

  /** Returns the same step for executors with a label only. */
  static BatchStep labelled(BatchStep step, String label) {
    return placed(
        step, new BatchStep.PlacementRule(false, Optional.of(label), Optional.empty(), 0));
  }

  /** Returns the same step with a limit on the number of its tasks on one executor. */
  static BatchStep limited(BatchStep step, int maxPerExecutor) {
    return placed(
        step,
        new BatchStep.PlacementRule(false, Optional.empty(), Optional.empty(), maxPerExecutor));
  }

  private static BatchStep step(
      int count,
      int accelerators,
      long millis,
      List<Integer> dependsOn,
      boolean checkpointing,
      boolean gang) {
    return new BatchStep(
        count,
        new ResourceVector(4_000, 16_000, accelerators),
        millis,
        dependsOn,
        BatchStep.PlacementRule.ANYWHERE,
        checkpointing,
        gang,
        "image");
  }

  static Submission of(BatchStep... steps) {
    return new Submission("spec", List.of(steps), Optional.empty());
  }

  static Submission repeated(long startMillis, long intervalMillis, int times, BatchStep... steps) {
    return new Submission(
        "spec",
        List.of(steps),
        Optional.of(new Submission.Schedule(startMillis, intervalMillis, times)));
  }
}
