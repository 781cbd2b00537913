package org.fescuehook.logic.control.state;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Placement;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.wire.JobSnapshot;
import org.fescuehook.wire.JobSubmitted;

/**
 * A job and its last attempt as the log tells them. Immutable.
 *
 * @param job the job
 * @param facts what was read, in the form of a snapshot
 */
public record JobState(Job job, JobSnapshot facts) {

  static JobState of(JobSnapshot facts) {
    return new JobState(jobOf(facts.getJob()), facts);
  }

  private static Job jobOf(JobSubmitted submitted) {
    org.fescuehook.wire.Shape shape = submitted.getShape();
    Capacity perMember =
        new Capacity(shape.getAccelerators(), shape.getCores(), shape.getMemoryMegabytes());
    return new Job(
        new JobId(submitted.getJob()),
        new OrganisationId(submitted.getOrganisation()),
        Optional.of(submitted.getRequestId()).filter(id -> !id.isEmpty()),
        new Shape(shape.getMembers(), perMember, shape.getMaxRacks()),
        submitted.getUrgent(),
        submitted.getCheckpointable(),
        submitted.getDeclaredSeconds(),
        submitted.getSubmittedMillis(),
        submitted.getCommand());
  }

  JobState with(JobSnapshot.Builder changed) {
    return new JobState(job, changed.build());
  }

  /** Returns the job's name. */
  public JobId id() {
    return job.id();
  }

  /** Tells whether an attempt was planned and has not ended. */
  public boolean live() {
    return facts.hasPlanned() && !facts.hasEnded();
  }

  /** Tells whether the live attempt was committed. */
  public boolean committed() {
    return live() && facts.hasCommitted();
  }

  /** Tells whether the live attempt is being stopped. */
  public boolean stopping() {
    return live() && facts.hasStopping();
  }

  /** Tells whether the job has its final result. */
  public boolean over() {
    return facts.hasJobEnded();
  }

  /** Tells whether the job waits for an attempt. */
  public boolean waiting() {
    return !over() && !live();
  }

  /** Returns the last attempt; number 0 if there was none. */
  public AttemptId attempt() {
    return new AttemptId(id(), facts.getPlanned().getAttempt());
  }

  /** Returns the epoch under which the last attempt was planned. */
  public long plannedEpoch() {
    return facts.getPlannedEpochPlusOne() - 1;
  }

  /** Returns the workers of the last attempt, by member number. */
  public List<WorkerId> workers() {
    return facts.getPlanned().getWorkersList().stream().map(WorkerId::new).toList();
  }

  /** Returns the job as the scheduling policy sees it while it waits. */
  public Scheduler.WaitingJob asWaiting() {
    Set<WorkerId> avoid = new HashSet<>();
    for (String worker : facts.getAvoidList()) {
      avoid.add(new WorkerId(worker));
    }
    return new Scheduler.WaitingJob(job, facts.getFailures(), facts.getKeptSeconds(), avoid);
  }

  /** Returns the live attempt as the scheduling policy sees it. */
  public Scheduler.RunningAttempt asRunning() {
    return new Scheduler.RunningAttempt(
        job,
        attempt(),
        new Placement(workers()),
        facts.getPlanned().getBorrowed(),
        facts.getStartedMillis(),
        facts.getKeptSeconds(),
        facts.hasStopping() || facts.getCancelRequested());
  }
}
