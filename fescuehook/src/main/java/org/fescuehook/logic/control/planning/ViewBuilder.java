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

/** Shows the state of the log to the scheduling policy. */
public final class ViewBuilder {

  private ViewBuilder() {}

  /** Builds the view; {@code unavailable} workers get nothing new, nor do quarantined ones. */
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
    for (WorkerJudged judged : state.judgements()) {
      if (judged.getUntilMillis() > wallMillis) {
        unusable.add(new WorkerId(judged.getWorker()));
      }
    }
    return new Scheduler.View(
        wallMillis, declarations, waiting, running, unusable, state.history());
  }

  /** Tells whether a waiting job is to have a further attempt. */
  static boolean runnable(JobState job, Declarations declarations) {
    boolean finished = job.facts().getEnded().getResult() == AttemptResult.ATTEMPT_RESULT_FINISHED;
    return !job.facts().getCancelRequested() && !finished && !gaveUp(job, declarations);
  }

  static boolean gaveUp(JobState job, Declarations declarations) {
    return job.facts().getFailures() >= declarations.policy().maxAttempts();
  }
}
