package org.fescuehook.logic.control.planning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.job.JobId;
import org.fescuehook.wire.AttemptEnded;
import org.fescuehook.wire.AttemptResult;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.JobEnded;
import org.fescuehook.wire.JobResult;

/** Ends jobs that have finished, were cancelled, or have failed too often. */
public final class JobEndDuty {
  private final RecordWriter writer;
  private final Set<JobId> changedJobs = new LinkedHashSet<>();
  private final Map<JobId, Long> pendingSequences = new HashMap<>();
  private boolean deciding;

  /** Creates a duty without jobs. */
  public JobEndDuty(RecordWriter writer) {
    this.writer = writer;
  }

  /** Handles that a record about a job was applied. */
  public void jobChanged(JobId job) {
    if (deciding) {
      changedJobs.add(job);
    }
  }

  /** Handles that this VM became the owner. It examines every waiting job. */
  public void begin(ControlState state) {
    deciding = true;
    state.jobs().waiting().forEach(job -> changedJobs.add(job.id()));
  }

  /** Handles that this VM is no longer the owner. */
  public void end() {
    deciding = false;
    changedJobs.clear();
    pendingSequences.clear();
  }

  /** Appends the end of jobs that have to end. */
  public void step(ControlState state, Declarations declarations, DecisionContext context) {
    List<JobId> jobs = new ArrayList<>(changedJobs);
    changedJobs.clear();
    for (JobId id : jobs) {
      Optional<JobState> job = state.jobs().find(id).filter(JobState::waiting);
      Optional<JobEnded.Builder> end = job.flatMap(found -> result(found, declarations));
      if (end.isEmpty()) {
        pendingSequences.remove(id);
        continue;
      }
      changedJobs.add(id);
      if (!writer.isPending(pendingSequences.getOrDefault(id, 0L)) && writer.hasCapacity(context)) {
        ControlRecord.Builder record =
            ControlRecord.newBuilder().setJobEnded(end.get().setJob(id.value()));
        pendingSequences.put(id, writer.append(record, state.epoch(), context));
      }
    }
  }

  private static Optional<JobEnded.Builder> result(JobState job, Declarations declarations) {
    AttemptEnded last = job.snapshot().getEnded();
    JobEnded.Builder end = JobEnded.newBuilder();
    if (last.getResult() == AttemptResult.ATTEMPT_RESULT_FINISHED) {
      return Optional.of(end.setResult(JobResult.JOB_RESULT_FINISHED));
    }
    if (job.snapshot().getCancelRequested()) {
      return Optional.of(end.setResult(JobResult.JOB_RESULT_CANCELLED));
    }
    if (ViewBuilder.attemptsExhausted(job, declarations)) {
      String detail =
          "failed "
              + job.snapshot().getFailures()
              + " times, last with exit code "
              + last.getExitCode()
              + " on "
              + last.getWorker();
      return Optional.of(end.setResult(JobResult.JOB_RESULT_FAILED).setDetail(detail));
    }
    return Optional.empty();
  }
}
