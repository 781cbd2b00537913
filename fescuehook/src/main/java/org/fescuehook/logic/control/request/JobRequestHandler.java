package org.fescuehook.logic.control.request;

import java.util.Optional;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.request.AdmissionChecker.Admission;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.JobCancelRequested;
import org.fescuehook.wire.JobSubmitted;
import org.fescuehook.wire.Shape;

/** Handles submissions and cancellations of jobs. */
public final class JobRequestHandler {
  private final String namePrefix;
  private final RequestAppender appender;
  private final AdmissionChecker admission = new AdmissionChecker();
  private long lastJob;

  /**
   * Creates a handler.
   *
   * @param namePrefix prefix that makes the ids of jobs unique across VMs and their incarnations
   */
  public JobRequestHandler(String namePrefix, RequestAppender appender) {
    this.namePrefix = namePrefix;
    this.appender = appender;
  }

  /**
   * Handles a submission. A submission repeated under the same request id is answered with the job
   * of the first one.
   */
  public void submit(
      long ticket,
      Request.Submit submit,
      Declarations declarations,
      ControlState state,
      DecisionContext context) {
    Optional<JobId> first =
        submit
            .requestId()
            .flatMap(id -> state.jobs().findByRequest(submit.organisation().value(), id));
    if (first.isPresent()) {
      context.reply(ticket, new Answer.Accepted(first.get()));
      return;
    }
    lastJob++;
    Job job = job(submit, context);
    switch (admission.check(job, declarations, state, context.wallMillis())) {
      case Admission.Admitted(int rule) ->
          appender.accept(
              ticket, ControlRecord.newBuilder().setJobSubmitted(body(job, rule)), context);
      case Admission.Denied(RefusalReason reason, String detail) ->
          Refusals.refuse(ticket, reason, detail, context);
    }
  }

  private Job job(Request.Submit submit, DecisionContext context) {
    return new Job(
        new JobId(namePrefix + "-" + lastJob),
        submit.organisation(),
        submit.requestId(),
        submit.shape(),
        submit.urgent(),
        submit.checkpointable(),
        submit.declaredSeconds(),
        context.wallMillis(),
        submit.command());
  }

  private static JobSubmitted body(Job job, int rule) {
    return JobSubmitted.newBuilder()
        .setJob(job.id().value())
        .setOrganisation(job.organisation().value())
        .setRequestId(job.requestId().orElse(""))
        .setShape(shape(job.shape()))
        .setUrgent(job.urgent())
        .setCheckpointable(job.checkpointable())
        .setDeclaredSeconds(job.declaredSeconds())
        .setSubmittedMillis(job.submittedMillis())
        .setCommand(job.command())
        .setRule(rule)
        .build();
  }

  private static Shape shape(org.fescuehook.model.job.Shape shape) {
    return Shape.newBuilder()
        .setMembers(shape.members())
        .setAccelerators(shape.perMember().accelerators())
        .setCores(shape.perMember().cores())
        .setMemoryMegabytes(shape.perMember().memoryMegabytes())
        .setMaxRacks(shape.maxRacks())
        .build();
  }

  /**
   * Handles a cancellation. To cancel a job again, or one that has its final result, has no effect.
   */
  public void cancel(long ticket, JobId id, ControlState state, DecisionContext context) {
    Optional<JobState> job = state.jobs().find(id);
    if (job.isEmpty()) {
      Refusals.refuse(ticket, RefusalReason.NOT_FOUND, "no job " + id, context);
      return;
    }
    if (job.get().hasResult() || job.get().snapshot().getCancelRequested()) {
      context.reply(ticket, new Answer.Done());
      return;
    }
    JobCancelRequested body = JobCancelRequested.newBuilder().setJob(id.value()).build();
    appender.accept(ticket, ControlRecord.newBuilder().setJobCancelRequested(body), context);
  }
}
