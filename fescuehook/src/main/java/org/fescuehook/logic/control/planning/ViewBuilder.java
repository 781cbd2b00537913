package org.fescuehook.logic.control.planning;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.wire.AttemptResult;
import org.fescuehook.wire.WorkerJudged;

/** Builds the scheduling policy's view of the state. */
public final class ViewBuilder {

  private ViewBuilder() {}

  /** Builds the view. Neither {@code unavailable} nor quarantined workers can be given new work. */
  public static Scheduler.View build(
      ControlState state, Declarations declarations, Set<WorkerId> unavailable, long wallMillis) {
    List<Scheduler.WaitingJob> waiting = new ArrayList<>();
    for (JobState job : state.jobs().waiting()) {
      if (runnable(job, declarations)) {
        waiting.add(job.asWaiting());
      }
    }
    List<Scheduler.RunningAttempt> running = new ArrayList<>();
    for (JobState job : state.jobs().live()) {
      running.add(job.asRunning());
    }
    Set<WorkerId> unusable = new HashSet<>(unavailable);
    for (WorkerJudged judged : state.quarantines()) {
      if (judged.getUntilMillis() > wallMillis) {
        unusable.add(new WorkerId(judged.getWorker()));
      }
    }
    return new Scheduler.View(
        wallMillis, declarations, waiting, running, unusable, state.history());
  }

  /** Returns whether a waiting job may get another attempt. */
  static boolean runnable(JobState job, Declarations declarations) {
    boolean finished =
        job.snapshot().getEnded().getResult() == AttemptResult.ATTEMPT_RESULT_FINISHED;
    return !job.snapshot().getCancelRequested()
        && !finished
        && !attemptsExhausted(job, declarations);
  }

  static boolean attemptsExhausted(JobState job, Declarations declarations) {
    return job.snapshot().getFailures() >= declarations.policy().maxAttempts();
  }
}
