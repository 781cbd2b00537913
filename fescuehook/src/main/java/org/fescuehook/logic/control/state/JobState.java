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
 * An immutable view of a job and its last attempt, as recorded in the log.
 *
 * @param job the job
 * @param snapshot the recorded state, in the form in which a snapshot stores it
 */
public record JobState(Job job, JobSnapshot snapshot) {

  static JobState of(JobSnapshot snapshot) {
    return new JobState(jobOf(snapshot.getJob()), snapshot);
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

  /** Returns the id of the job. */
  public JobId id() {
    return job.id();
  }

  /** Returns whether the job has a live attempt: one that was planned and has not ended. */
  public boolean live() {
    return snapshot.hasPlanned() && !snapshot.hasEnded();
  }

  /** Returns whether the job has a live attempt that was committed. */
  public boolean committed() {
    return live() && snapshot.hasCommitted();
  }

  /** Returns whether the job has a live attempt that is being stopped. */
  public boolean stopping() {
    return live() && snapshot.hasStopping();
  }

  /** Returns whether the job has its final result. */
  public boolean hasResult() {
    return snapshot.hasJobEnded();
  }

  /** Returns whether the job has neither a live attempt nor a final result. */
  public boolean waiting() {
    return !hasResult() && !live();
  }

  /** Returns the last attempt; its number is 0 if there was none. */
  public AttemptId attempt() {
    return new AttemptId(id(), snapshot.getPlanned().getAttempt());
  }

  /** Returns the epoch under which the last attempt was planned. */
  public long plannedEpoch() {
    return snapshot.getPlannedEpochPlusOne() - 1;
  }

  /** Returns the workers of the last attempt, ordered by member number. */
  public List<WorkerId> workers() {
    return snapshot.getPlanned().getWorkersList().stream().map(WorkerId::new).toList();
  }

  /** Returns the job in the form in which the scheduling policy sees waiting jobs. */
  public Scheduler.WaitingJob asWaiting() {
    Set<WorkerId> avoid = new HashSet<>();
    for (String worker : snapshot.getAvoidList()) {
      avoid.add(new WorkerId(worker));
    }
    return new Scheduler.WaitingJob(job, snapshot.getFailures(), snapshot.getKeptSeconds(), avoid);
  }

  /** Returns the live attempt in the form in which the scheduling policy sees running ones. */
  public Scheduler.RunningAttempt asRunning() {
    return new Scheduler.RunningAttempt(
        job,
        attempt(),
        new Placement(workers()),
        snapshot.getPlanned().getBorrowed(),
        snapshot.getStartedMillis(),
        snapshot.getKeptSeconds(),
        snapshot.hasStopping() || snapshot.getCancelRequested());
  }
}
