package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.fescuehook.logic.batch.state.JobCodec;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.wire.batch.StoredProgress;
import org.fescuehook.wire.batch.StoredStepProgress;
import org.fescuehook.wire.batch.StoredTaskProgress;

/** Divides waiting steps into groups of tasks, as after executors were lost under some of them. */
final class DividedSteps {

  private DividedSteps() {}

  /** Divides half of the steps that are not gangs at random. */
  static List<WaitingStep> divide(List<WaitingStep> waiting, Random random) {
    List<WaitingStep> groups = new ArrayList<>();
    for (WaitingStep step : waiting) {
      if (step.step().spec().gang() || step.tasks().size() < 2 || random.nextBoolean()) {
        groups.add(step);
        continue;
      }
      int cut = 1 + random.nextInt(step.tasks().size() - 1);
      groups.add(group(step, step.tasks().subList(0, cut)));
      groups.add(group(step, step.tasks().subList(cut, step.tasks().size())));
    }
    return groups;
  }

  /**
   * Makes a third of the tasks that are not in a gang suspect of crashing executors, and puts each
   * of them into a group of its own behind the others of its step.
   */
  static List<WaitingStep> suspect(List<WaitingStep> waiting, Random random)
      throws UnreadableRecordException {
    List<WaitingStep> groups = new ArrayList<>();
    for (WaitingStep step : waiting) {
      if (step.step().spec().gang()) {
        groups.add(step);
        continue;
      }
      List<TaskProgress> suspects = new ArrayList<>();
      for (TaskProgress task : step.tasks()) {
        if (random.nextInt(3) == 0) {
          recordCrash(step.step(), task);
          suspects.add(task);
        }
      }
      List<TaskProgress> others =
          step.tasks().stream().filter(task -> !suspects.contains(task)).toList();
      if (!others.isEmpty()) {
        groups.add(group(step, others));
      }
      suspects.forEach(task -> groups.add(group(step, List.of(task))));
    }
    return groups;
  }

  private static void recordCrash(StepProgress step, TaskProgress task)
      throws UnreadableRecordException {
    StoredTaskProgress crashed =
        StoredTaskProgress.newBuilder()
            .setIndex(task.index())
            .setLastRun(1)
            .setEarlyCrashes(1)
            .build();
    StoredProgress progress =
        StoredProgress.newBuilder()
            .addSteps(StoredStepProgress.newBuilder().addTasks(crashed))
            .build();
    JobCodec.restore(step.job(), progress.toByteArray(), 0);
  }

  private static WaitingStep group(WaitingStep step, List<TaskProgress> tasks) {
    return new WaitingStep(
        step.step(),
        tasks,
        step.pool(),
        step.rank(),
        step.acceptedMillis(),
        step.timing(),
        step.advice());
  }
}
