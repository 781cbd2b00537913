package org.fescuehook.logic.scheduling;

import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;
import org.fescuehook.logic.scheduling.Scheduler.Stop;
import org.fescuehook.logic.scheduling.Scheduler.StopCause;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.job.Job;

/** Sets the notice that a borrower gets, so that the declared bounds hold. */
final class StopTerms {

  /** Share of the urgent bound that a checkpoint may take; the rest is for stop and start. */
  private static final long URGENT_DIVISOR = 3;

  /** Share of the reclaim bound that is kept for stop and start. */
  private static final long RECLAIM_DIVISOR = 4;

  private final PolicyPreferences policy;

  StopTerms(PolicyPreferences policy) {
    this.policy = policy;
  }

  /** Returns the stop of an attempt for the sake of a job. */
  Stop stop(RunningAttempt victim, StopCause cause, Job beneficiary) {
    long notice = victim.job().checkpointable() ? notice(cause) : 0;
    return new Stop(victim.attempt(), cause, notice > 0, notice, beneficiary.id());
  }

  private long notice(StopCause cause) {
    long declared = policy.checkpointNotice().toMillis();
    return switch (cause) {
      case URGENT -> Math.min(declared, policy.urgentStartBound().toMillis() / URGENT_DIVISOR);
      case RECLAIMED -> {
        long bound = policy.reclaimBound().toMillis();
        yield Math.min(declared, bound - bound / RECLAIM_DIVISOR);
      }
      case MOVED -> declared;
    };
  }
}
