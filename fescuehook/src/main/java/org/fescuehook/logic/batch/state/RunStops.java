package org.fescuehook.logic.batch.state;

import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorState;

/** Stops runs that are no longer needed, or that have to move to another executor. */
public final class RunStops {

  private final ExecutorDuty executors;

  RunStops(ExecutorDuty executors) {
    this.executors = executors;
  }

  void stop(LiveRun run, WasteCause cause, BatchContext context) {
    run.wastedBy(cause);
    executors.stop(run, cause.text(), context);
  }

  /** Handles a run of a former owner that was found running: stops it if it is no longer needed. */
  public void foundRunning(LiveRun run, BatchContext context) {
    StepProgress step = run.step();
    if (!step.job().open()) {
      stop(run, WasteCause.JOB_ENDED, context);
    } else if (run.task().done()) {
      stop(run, WasteCause.TASK_DONE, context);
    } else if (step.spec().gang() && !step.waiting().isEmpty()) {
      // A member has ended, and the former owner may have failed before it stopped the others.
      breakGang(step, context);
    }
  }

  /** Stops the remaining members of a gang that has lost one, so that the whole gang restarts. */
  void breakGang(StepProgress step, BatchContext context) {
    if (step.spec().gang() && !step.done()) {
      step.liveRuns().forEach(run -> stop(run, WasteCause.GANG_BROKEN, context));
    }
  }

  /** Handles a run whose start was not answered: it may run, so it is stopped. */
  public void startGivenUp(LiveRun run, BatchContext context) {
    stop(run, WasteCause.UNANSWERED, context);
    breakGang(run.step(), context);
  }

  /** Handles a run that makes hardly any progress on its executor: stops it to move it. */
  public void runStalled(LiveRun run, BatchContext context) {
    if (run.step().job().open() && !run.step().done()) {
      stop(run, WasteCause.MOVED, context);
      breakGang(run.step(), context);
    }
  }

  /**
   * Moves runs away from an executor that is about to leave: those that save checkpoints, are
   * long-running or would not end in time. A run that is lost with its executor can be restarted
   * only after its lease has expired.
   */
  public void leaving(ExecutorState executor, BatchContext context) {
    for (LiveRun run : executor.runs().stream().toList()) {
      boolean lateThere = run.estimatedLeftMillis() > executor.profile().remainingMillis();
      boolean moves = run.step().spec().checkpointing() || lateThere || run.longRunning();
      if (moves && !run.step().done()) {
        stop(run, WasteCause.LEAVING, context);
        breakGang(run.step(), context);
      }
    }
  }
}
