package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.fescuehook.logic.scheduling.Scheduler.StopCause;
import org.fescuehook.model.job.Job;

/** Holds organisations to their quotas; an urgent job above it displaces its own organisation. */
final class QuotaEnforcer {

  private final PlanState state;
  private final StopFactory terms;

  QuotaEnforcer(PlanState state) {
    this.state = state;
    this.terms = new StopFactory(state.view().declarations().policy());
  }

  /** Tells whether a job is within its organisation's quota, and explains it if not. */
  boolean allows(Candidate candidate) {
    Job job = candidate.job();
    int over = state.overQuota(job);
    if (over <= 0) {
      return true;
    }
    state.explain(candidate, "its organisation's quota is in use", 0);
    if (job.urgent()) {
      displaceOwn(candidate, over);
    }
    return false;
  }

  private void displaceOwn(Candidate candidate, int over) {
    List<PlacedAttempt> own = new ArrayList<>();
    int missing = over;
    for (PlacedAttempt o : state.occupants()) {
      Job other = o.running().job();
      if (!other.organisation().equals(candidate.job().organisation()) || other.urgent()) {
        continue;
      }
      if (state.isStopped(o)) {
        missing -= other.shape().accelerators();
      } else if (other.shape().accelerators() > 0) {
        own.add(o);
      }
    }
    long now = state.view().nowMillis();
    own.sort(Comparator.comparingDouble(o -> o.stopCost(now)));
    for (PlacedAttempt o : own) {
      if (missing <= 0) {
        return;
      }
      state.stop(o, terms.stop(o.running(), StopCause.URGENT, candidate.job()));
      missing -= o.running().job().shape().accelerators();
    }
  }
}
