package org.fescuehook.logic.batch.state;

import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.wire.batch.StoredLoss;
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
    step.setLastFailedMillis(stored.getLastFailedMillis());
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
    task.restore(crashes(stored));
  }

  private static CrashRecord crashes(StoredTaskProgress stored) {
    if (stored.getLossesCount() > 0) {
      return new CrashRecord(stored.getLossesList().stream().map(ProgressRestorer::loss).toList());
    }
    return CrashRecord.ofCounts(
        stored.getEarlyCrashes(),
        stored.getLateCrashes(),
        stored.getOtherLosses(),
        stored.getCrashedAlone(),
        stored.getThirdLossRun());
  }

  private static ExecutorLoss loss(StoredLoss stored) {
    CrashEvidence evidence =
        switch (stored.getEvidence()) {
          case UNRESOLVED -> CrashEvidence.UNRESOLVED;
          case GONE -> CrashEvidence.GONE;
          case WEAK -> CrashEvidence.WEAK;
          case STRONG -> CrashEvidence.STRONG;
          case STRONG_ALONE -> CrashEvidence.STRONG_ALONE;
          case DOUBTFUL, UNRECOGNIZED -> CrashEvidence.DOUBTFUL;
        };
    Optional<Incarnation> mayReturn =
        stored.getExecutor().isEmpty()
            ? Optional.empty()
            : Optional.of(incarnation(stored.getExecutor(), stored.getExecutorBornMillis()));
    return new ExecutorLoss(stored.getRun(), evidence, mayReturn);
  }

  private void restoreRun(StepProgress step, TaskProgress task, StoredTaskProgress stored) {
    if (!stored.getExecutor().isEmpty()) {
      TaskRun run = new TaskRun(step.name(task), stored.getLastRun());
      Incarnation executor = incarnation(stored.getExecutor(), stored.getExecutorBornMillis());
      task.begin(LiveRun.inherited(run, executor, step, nowNanos));
    }
  }

  private static Incarnation incarnation(String id, long bornMillis) {
    return new Incarnation(
        new ExecutorId(id), bornMillis == 0 ? OptionalLong.empty() : OptionalLong.of(bornMillis));
  }

  private UnreadableRecordException mismatch(String part) {
    String fault = "the job has no " + part;
    return new UnreadableRecordException(
        "progress of job " + job.job().id(), new IllegalArgumentException(fault));
  }
}
