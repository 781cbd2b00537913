package org.fescuehook.logic.trace;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;
import org.fescuehook.logic.scheduling.Scheduler.Start;
import org.fescuehook.logic.scheduling.Scheduler.WaitingJob;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.Job;

/** State of one job in a replay. */
final class ReplayedJob {

  final Job job;
  final JobBehaviour behaviour;
  final long order;
  final Set<WorkerId> failedOn = new HashSet<>();
  JobOutcome.End end = JobOutcome.End.UNFINISHED;
  OptionalLong firstStartMillis = OptionalLong.empty();
  OptionalLong endMillis = OptionalLong.empty();
  long keptSeconds;
  int failures;
  int attempts;
  int preemptions;
  double lostAcceleratorSeconds;

  /** The decision that started the current attempt. */
  Start start;

  long plannedMillis;
  long beganMillis;
  boolean stopping;
  boolean ending;

  ReplayedJob(Job job, JobBehaviour behaviour, long order, Start none) {
    this.job = job;
    this.behaviour = behaviour;
    this.order = order;
    this.start = none;
  }

  WaitingJob waiting() {
    return new WaitingJob(job, failures, keptSeconds, Set.copyOf(failedOn));
  }

  RunningAttempt running() {
    return new RunningAttempt(
        job,
        attempt(),
        start.placement(),
        start.borrowed(),
        plannedMillis,
        keptSeconds,
        stopping || ending);
  }

  AttemptId attempt() {
    return new AttemptId(job.id(), attempts);
  }

  boolean isOver() {
    return end != JobOutcome.End.UNFINISHED;
  }

  /** Returns how long the current attempt has run. */
  long ranSeconds(long nowMillis) {
    return Math.max(0, nowMillis - beganMillis) / 1000;
  }

  JobOutcome outcome() {
    return new JobOutcome(
        job,
        behaviour,
        end,
        firstStartMillis,
        endMillis,
        attempts,
        preemptions,
        lostAcceleratorSeconds);
  }
}
