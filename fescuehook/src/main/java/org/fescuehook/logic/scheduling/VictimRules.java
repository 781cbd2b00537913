package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;
import org.fescuehook.logic.scheduling.VictimSelector.Selection;
import org.fescuehook.logic.scheduling.VictimSelector.Victim;
import org.fescuehook.model.job.Job;

/** Decides which attempts may be stopped for a job that no guarantee covers, and at what cost. */
final class VictimRules {

  private static final double OWN_GUARANTEED_COST_FACTOR = 4;
  private static final double MIN_SCORE_RATIO = 3;
  private static final long MIN_RUN_MILLIS = 300_000;
  private static final double RESTART_SECONDS = 90;

  private final PlanState state;
  private final JobOrder order;

  VictimRules(PlanState state, JobOrder order) {
    this.state = state;
    this.order = order;
  }

  /**
   * Returns the borrowers that are not urgent and, for an urgent job, also attempts of its own
   * organisation that guarantees cover. A job that was overdue when it started is never stopped, so
   * that it can complete.
   */
  List<Victim> forUrgentOrOverdue(Candidate candidate) {
    List<Victim> victims = new ArrayList<>();
    for (PlacedAttempt a : state.attempts()) {
      Job other = a.running().job();
      if (other.urgent() || state.isStopped(a) || wasOverdue(a.running())) {
        continue;
      }
      double cost = a.stopCost(state.view().nowMillis());
      if (!a.guaranteed()) {
        victims.add(new Victim(a, cost));
      } else if (candidate.job().urgent()
          && other.organisation().equals(candidate.job().organisation())) {
        victims.add(new Victim(a, cost * OWN_GUARANTEED_COST_FACTOR));
      }
    }
    return victims;
  }

  /**
   * Returns checkpointable borrowers whose score is clearly lower than that of the job, so that
   * they do not preempt the job in turn.
   */
  List<Victim> forMove(Candidate candidate) {
    List<Victim> victims = new ArrayList<>();
    long now = state.view().nowMillis();
    for (PlacedAttempt a : state.attempts()) {
      RunningAttempt r = a.running();
      if (a.guaranteed() || state.isStopped(a) || r.job().urgent() || wasOverdue(r)) {
        continue;
      }
      if (!r.job().checkpointable() || now - r.startedMillis() < MIN_RUN_MILLIS) {
        continue;
      }
      if (candidate.score() > MIN_SCORE_RATIO * order.score(a, state)) {
        victims.add(new Victim(a, a.stopCost(now)));
      }
    }
    return victims;
  }

  /** Returns the expected sum of the slowdowns that the stops cause. */
  double slowdown(Selection selection, Candidate candidate) {
    double sum = 0;
    for (Victim v : selection.victims()) {
      double delay = RESTART_SECONDS + candidate.remainingSeconds();
      sum += delay / Math.max(1, v.attempt().remainingSeconds());
    }
    return sum;
  }

  private boolean wasOverdue(RunningAttempt running) {
    long waited = running.startedMillis() - running.job().submittedMillis();
    return JobOrder.isOverdue(waited, state.view());
  }
}
