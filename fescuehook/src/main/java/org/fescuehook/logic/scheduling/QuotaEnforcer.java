package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.fescuehook.logic.scheduling.Scheduler.StopCause;
import org.fescuehook.model.job.Job;

/**
 * Enforces the quotas of organisations. An urgent job that exceeds the quota preempts other
 * attempts of its own organisation.
 */
final class QuotaEnforcer {

  private final PlanState state;
  private final StopFactory stopFactory;

  QuotaEnforcer(PlanState state) {
    this.state = state;
    this.stopFactory = new StopFactory(state.view().declarations().policy());
  }

  /**
   * Returns whether a job is within its organisation's quota. If it is not, records the explanation
   * and, for an urgent job, stops other attempts of the organisation.
   */
  boolean allows(Candidate candidate) {
    Job job = candidate.job();
    int excess = state.overQuota(job);
    if (excess <= 0) {
      return true;
    }
    state.explain(candidate, "its organisation's quota is in use", 0);
    if (job.urgent()) {
      preemptOwn(candidate, excess);
    }
    return false;
  }

  private void preemptOwn(Candidate candidate, int excess) {
    List<PlacedAttempt> stoppable = new ArrayList<>();
    int remainingExcess = excess;
    for (PlacedAttempt a : state.attempts()) {
      Job other = a.running().job();
      if (!other.organisation().equals(candidate.job().organisation()) || other.urgent()) {
        continue;
      }
      if (state.isStopped(a)) {
        remainingExcess -= other.shape().accelerators();
      } else if (other.shape().accelerators() > 0) {
        stoppable.add(a);
      }
    }
    long now = state.view().nowMillis();
    stoppable.sort(Comparator.comparingDouble(a -> a.stopCost(now)));
    for (PlacedAttempt a : stoppable) {
      if (remainingExcess <= 0) {
        return;
      }
      state.stop(a, stopFactory.create(a.running(), StopCause.URGENT, candidate.job()));
      remainingExcess -= a.running().job().shape().accelerators();
    }
  }
}
