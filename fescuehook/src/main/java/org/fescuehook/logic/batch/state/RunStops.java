package org.fescuehook.logic.batch.state;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
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
      stopMembers(step, context);
    }
  }

  /**
   * Stops the remaining members of a gang that has lost one, so that the whole gang restarts; does
   * nothing if the step of the run is no gang.
   *
   * @param lost the run that has ended or is being stopped
   * @param cause why, unless that is known of the run itself
   */
  void breakGang(LiveRun lost, WasteCause cause, BatchContext context) {
    StepProgress step = lost.step();
    if (!step.spec().gang() || step.done()) {
      return;
    }
    List<LiveRun> others = step.liveRuns().stream().filter(run -> run != lost).toList();
    boolean first = others.stream().anyMatch(run -> run.stage() != LiveRun.Stage.STOPPING);
    if (first) {
      WasteCause known = lost.wasteCause().orElse(cause);
      context.count("fescuehook.batch.gangs.broken", "cause", known.tag());
      context.note(
          BatchLogEvent.GANG_BROKEN,
          lost.run(),
          lost.incarnation(),
          known.text(),
          TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - lost.placedAt()),
          others.stream().filter(LiveRun::seenRunning).count(),
          step.spec().count() - 1,
          step.spec().count() * step.spec().demand().accelerators());
    }
    stopMembers(step, context);
  }

  private void stopMembers(StepProgress step, BatchContext context) {
    step.liveRuns().forEach(run -> stop(run, WasteCause.GANG_BROKEN, context));
  }

  /** Handles a run whose start was not answered: it may run, so it is stopped. */
  public void startGivenUp(LiveRun run, BatchContext context) {
    stop(run, WasteCause.UNANSWERED, context);
    breakGang(run, WasteCause.UNANSWERED, context);
  }

  /** Handles a run that makes hardly any progress on its executor: stops it to move it. */
  public void runStalled(LiveRun run, BatchContext context) {
    if (run.step().job().open() && !run.step().done()) {
      stop(run, WasteCause.MOVED, context);
      breakGang(run, WasteCause.MOVED, context);
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
        breakGang(run, WasteCause.LEAVING, context);
      }
    }
  }
}
