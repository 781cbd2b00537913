package org.fescuehook.logic.control.state;

import java.util.Optional;
import org.fescuehook.model.job.JobId;
import org.fescuehook.wire.ControlRecord;

/** Determines which job a record is about. */
public final class RecordSubject {

  private RecordSubject() {}

  /** Returns the job that a record is about; empty if it is about no job. */
  public static Optional<JobId> job(ControlRecord record) {
    String name =
        switch (record.getBodyCase()) {
          case JOB_SUBMITTED -> record.getJobSubmitted().getJob();
          case JOB_CANCEL_REQUESTED -> record.getJobCancelRequested().getJob();
          case ATTEMPT_PLANNED -> record.getAttemptPlanned().getJob();
          case ATTEMPT_COMMITTED -> record.getAttemptCommitted().getJob();
          case ATTEMPT_STOPPING -> record.getAttemptStopping().getJob();
          case ATTEMPT_ENDED -> record.getAttemptEnded().getJob();
          case JOB_ENDED -> record.getJobEnded().getJob();
          default -> "";
        };
    return Optional.of(name).filter(text -> !text.isBlank()).map(JobId::new);
  }
}
