package org.fescuehook.logic.scheduling;

import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;
import org.fescuehook.logic.scheduling.Scheduler.Stop;
import org.fescuehook.logic.scheduling.Scheduler.StopCause;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.job.Job;

/** Creates stops whose checkpoint notice is short enough to meet the declared time bounds. */
final class StopFactory {

  /**
   * A checkpoint may take one third of the bound for urgent starts; the rest is for the stop and
   * the start.
   */
  private static final long URGENT_BOUND_DIVISOR = 3;

  /** One quarter of the reclaim bound is kept for the stop and the start. */
  private static final long RECLAIM_BOUND_DIVISOR = 4;

  private final PolicyPreferences policy;

  StopFactory(PolicyPreferences policy) {
    this.policy = policy;
  }

  /** Returns the stop of an attempt that frees its resources for a job. */
  Stop create(RunningAttempt victim, StopCause cause, Job beneficiary) {
    long noticeMillis = victim.job().checkpointable() ? noticeMillis(cause) : 0;
    return new Stop(victim.attempt(), cause, noticeMillis > 0, noticeMillis, beneficiary.id());
  }

  private long noticeMillis(StopCause cause) {
    long declaredMillis = policy.checkpointNotice().toMillis();
    return switch (cause) {
      case URGENT ->
          Math.min(declaredMillis, policy.urgentStartBound().toMillis() / URGENT_BOUND_DIVISOR);
      case RECLAIMED -> {
        long boundMillis = policy.reclaimBound().toMillis();
        yield Math.min(declaredMillis, boundMillis - boundMillis / RECLAIM_BOUND_DIVISOR);
      }
      case MOVED -> declaredMillis;
    };
  }
}
