package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;
import org.fescuehook.logic.scheduling.VictimSelector.Selection;
import org.fescuehook.logic.scheduling.VictimSelector.Victim;
import org.fescuehook.model.job.Job;

/** Says which attempts may be stopped for a job without a guarantee, and what that costs. */
final class VictimRules {

  private static final double OWN_GUARANTEED_FACTOR = 4;
  private static final double LEAST_ADVANTAGE = 3;
  private static final long LEAST_RUN_MILLIS = 300_000;
  private static final double RESTART_SECONDS = 90;

  private final PlanState state;
  private final JobOrder order;

  VictimRules(PlanState state, JobOrder order) {
    this.state = state;
    this.order = order;
  }

  /**
   * Returns borrowers that are not urgent, and for an urgent job also guaranteed work of its own
   * organisation. A job that was overdue when it started is left alone, so that it runs to its end.
   */
  List<Victim> forUrgentOrOverdue(Candidate candidate) {
    List<Victim> victims = new ArrayList<>();
    for (Occupant o : state.occupants()) {
      Job other = o.running().job();
      if (other.urgent() || state.isStopped(o) || wasOverdue(o.running())) {
        continue;
      }
      double cost = o.stopCost(state.view().nowMillis());
      if (!o.guaranteed()) {
        victims.add(new Victim(o, cost));
      } else if (candidate.job().urgent()
          && other.organisation().equals(candidate.job().organisation())) {
        victims.add(new Victim(o, cost * OWN_GUARANTEED_FACTOR));
      }
    }
    return victims;
  }

  /**
   * Returns checkpointable borrowers that come clearly later in the order than the job, so that
   * they do not take the room back.
   */
  List<Victim> forMove(Candidate candidate) {
    List<Victim> victims = new ArrayList<>();
    long now = state.view().nowMillis();
    for (Occupant o : state.occupants()) {
      RunningAttempt r = o.running();
      if (o.guaranteed() || state.isStopped(o) || r.job().urgent() || wasOverdue(r)) {
        continue;
      }
      if (!r.job().checkpointable() || now - r.startedMillis() < LEAST_RUN_MILLIS) {
        continue;
      }
      if (candidate.score() > LEAST_ADVANTAGE * order.score(o, state)) {
        victims.add(new Victim(o, o.stopCost(now)));
      }
    }
    return victims;
  }

  /** Returns the sum of the slowdowns that the stops are expected to cause. */
  double slowdown(Selection selection, Candidate candidate) {
    double sum = 0;
    for (Victim v : selection.victims()) {
      double delay = RESTART_SECONDS + candidate.leftSeconds();
      sum += delay / Math.max(1, v.occupant().leftSeconds());
    }
    return sum;
  }

  private boolean wasOverdue(RunningAttempt running) {
    long waited = running.startedMillis() - running.job().submittedMillis();
    return JobOrder.isOverdue(waited, state.view());
  }
}
