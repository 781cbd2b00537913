package org.fescuehook.logic.batch.state;

import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.wire.batch.StoredStepProgress;
import org.fescuehook.wire.batch.StoredTaskProgress;

/** Restores the stored progress of steps into a job. */
final class ProgressRestorer {

  private final ActiveJob job;
  private final long nowNanos;

  ProgressRestorer(ActiveJob job, long nowNanos) {
    this.job = job;
    this.nowNanos = nowNanos;
  }

  void restore(StoredStepProgress stored) throws UnreadableRecordException {
    Optional<StepProgress> found = job.step(stored.getOccurrence(), stored.getStep());
    if (found.isEmpty()) {
      throw mismatch("step " + stored.getStep());
    }
    StepProgress step = found.get();
    step.restoreGangFailures(stored.getGangFailures(), stored.getLastFailedGangRun());
    if (stored.getDone()) {
      step.restoreDone();
    }
    for (StoredTaskProgress storedTask : stored.getTasksList()) {
      TaskProgress task =
          step.task(storedTask.getIndex())
              .orElseThrow(() -> mismatch("task " + storedTask.getIndex()));
      if (!stored.getDone()) {
        restore(step, task, storedTask);
      }
      restoreRun(step, task, storedTask);
    }
  }

  private static void restore(StepProgress step, TaskProgress task, StoredTaskProgress stored) {
    step.restore(
        task, stored.getDone(), stored.getFailures(), stored.getLastRun(), stored.getCheckpoint());
    task.restore(
        new CrashRecord(
            stored.getEarlyCrashes(),
            stored.getLateCrashes(),
            stored.getOtherLosses(),
            stored.getCrashedAlone(),
            stored.getThirdLossRun()));
  }

  private void restoreRun(StepProgress step, TaskProgress task, StoredTaskProgress stored) {
    if (!stored.getExecutor().isEmpty()) {
      TaskRun run = new TaskRun(step.name(task), stored.getLastRun());
      task.begin(LiveRun.inherited(run, executor(stored), step, nowNanos));
    }
  }

  private static Incarnation executor(StoredTaskProgress stored) {
    long born = stored.getExecutorBornMillis();
    return new Incarnation(
        new ExecutorId(stored.getExecutor()),
        born == 0 ? OptionalLong.empty() : OptionalLong.of(born));
  }

  private UnreadableRecordException mismatch(String part) {
    String fault = "the job has no " + part;
    return new UnreadableRecordException(
        "progress of job " + job.job().id(), new IllegalArgumentException(fault));
  }
}
