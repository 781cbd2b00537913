package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.fescuehook.logic.batch.admission.Admission;
import org.fescuehook.logic.batch.admission.NewJob;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobCodec;
import org.fescuehook.logic.batch.state.JobLifecycle;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.state.JobScope;
import org.fescuehook.logic.batch.store.CommitFailure;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.JobQueue;

/**
 * Handles submissions: a submission is accepted once it is stored, refused if it is certain not to
 * be stored, and undecided otherwise. A repeated submission of the same job id joins the pending
 * one and gets the same answer.
 */
final class SubmissionHandler {

  private final JobLifecycle jobs;
  private final CallerJobs callerJobs;
  private final StateWriter writer;
  private final Admission admission;
  private final List<BatchCommand> outgoing;
  private final Map<String, PendingSubmission> pending = new LinkedHashMap<>();
  private final List<JobQuery> dueCancels = new ArrayList<>();

  /**
   * Creates a handler without submissions.
   *
   * @param callerJobs the jobs as callers see them
   * @param admission decides which submissions are refused
   * @param outgoing list to which answers and log events are added; the owner sends them with its
   *     next step
   */
  SubmissionHandler(
      JobLifecycle jobs,
      CallerJobs callerJobs,
      StateWriter writer,
      Admission admission,
      List<BatchCommand> outgoing) {
    this.admission = admission;
    this.jobs = jobs;
    this.callerJobs = callerJobs;
    this.writer = writer;
    this.outgoing = outgoing;
  }

  /**
   * Answers a submission that repeats an accepted job, or joins it to the pending submission of the
   * same job.
   *
   * @param caller scope of the call; its organisation is empty if the key of the call is not known
   * @return false if it is not a repetition
   */
  boolean joinExisting(long ticket, String id, JobScope caller) {
    if (callerJobs.stored(id, caller)) {
      answer(ticket, new CallAnswer.Accepted());
      return true;
    }
    PendingSubmission earlier = pending.get(id);
    if (earlier == null || !earlier.scope().matches(caller)) {
      return false;
    }
    earlier.tickets().add(ticket);
    return true;
  }

  /**
   * Handles a submission of a job that is not known: refuses it or sends it to the store.
   *
   * @param caller the organisation of its caller; empty if the call carried no known key
   * @param contact how well the store can be reached, judged by the heartbeats
   */
  void handle(
      BatchEvent.Called event,
      BatchCall.Submit submit,
      JobQueue queue,
      Optional<BatchOrganisation> caller,
      StoreReachability contact,
      BatchContext context) {
    NewJob job =
        new NewJob(
            submit.job(),
            queue,
            caller.map(BatchOrganisation::name).orElse(""),
            submit.submission());
    if (refuseUsedId(event.ticket(), job, context)) {
      return;
    }
    Optional<Admission.Refusal> refusal =
        admission.refusal(job, event.patience(), contact, context);
    if (refusal.isPresent()) {
      refuse(event.ticket(), job.id(), refusal.get(), context);
    } else {
      submit(event.ticket(), job, context);
    }
  }

  /**
   * Refuses a submission whose id another job has. Tasks are named by the id alone on executors and
   * in the store, so the two jobs cannot be kept apart there.
   *
   * @return false if no other job has the id
   */
  private boolean refuseUsedId(long ticket, NewJob job, BatchContext context) {
    PendingSubmission undecided = pending.get(job.id());
    if (undecided != null) {
      String queue = undecided.scope().queue();
      refuseUsedId(ticket, job, queue, admission.retryAfterMillis(), context);
      return true;
    }
    Optional<JobRegistry.IdHolder> holder =
        callerJobs.otherHolder(job.id(), JobScope.of(job.queue(), job.organisation()));
    if (holder.isEmpty()) {
      return false;
    }
    String queue = holder.get().scope().map(JobScope::queue).orElse("");
    long retryAfter = admission.retryOfUsedIdMillis(holder.get().endedMillis(), context);
    refuseUsedId(ticket, job, queue, retryAfter, context);
    return true;
  }

  private void refuseUsedId(
      long ticket, NewJob job, String holderQueue, long retryAfterMillis, BatchContext context) {
    context.note(BatchLogEvent.JOB_ID_IN_USE, job.id(), job.queue().name(), holderQueue);
    Admission.Refusal refusal = new Admission.Refusal(RefusalCause.ID_IN_USE, retryAfterMillis);
    refuse(ticket, job.id(), refusal, context);
  }

  /** Refuses a call. */
  void refuse(long ticket, String id, Admission.Refusal refusal, BatchContext context) {
    RefusalCause cause = refusal.cause();
    context.note(BatchLogEvent.JOB_REFUSED, id, cause, refusal.retryAfterMillis());
    context.count("fescuehook.batch.refused", "cause", cause.tag());
    answer(ticket, new CallAnswer.Refused(cause, refusal.retryAfterMillis()));
  }

  /** Sends a submission to the store. */
  private void submit(long ticket, NewJob newJob, BatchContext context) {
    LongSupplier retryAfter = admission.retryIfNotStored(newJob);
    String id = newJob.id();
    JobScope scope = JobScope.of(newJob.queue(), newJob.organisation());
    pending.put(id, PendingSubmission.of(scope, ticket));
    Optional<JobRegistry.EndedJob> cancelled = jobs.registry().earlyCancel(id, scope);
    if (cancelled.isPresent()) {
      JobRegistry.EndedJob end = cancelled.get();
      submitCancelled(
          newJob,
          new JobRegistry.EndedJob(end.phase(), end.endedMillis(), Optional.of(scope)),
          retryAfter,
          context);
      return;
    }
    ActiveJob job =
        ActiveJob.submitted(
            new BatchJob(
                id,
                newJob.queue(),
                newJob.organisation(),
                context.wallMillis(),
                newJob.submission()));
    jobs.submit(job);
    writer.putExpiring(
        JobCodec.jobKey(id),
        () -> Optional.of(JobCodec.encode(job.job())),
        () -> {
          accepted(job);
          admission.stored(newJob, outgoing);
        },
        loss -> {
          jobs.withdraw(job);
          notAccepted(id, loss, retryAfter);
        },
        context);
  }

  /** Accepts a job that was cancelled before it was submitted: it is stored as ended. */
  private void submitCancelled(
      NewJob newJob,
      JobRegistry.EndedJob cancelled,
      LongSupplier retryAfter,
      BatchContext context) {
    String id = newJob.id();
    writer.putExpiring(
        JobCodec.progressKey(id),
        () -> Optional.of(JobCodec.encodeEnd(cancelled)),
        () -> {
          jobs.registry().addEnded(id, cancelled, context.nowNanos());
          note(BatchLogEvent.CANCELLED_JOB_ACCEPTED, id);
          complete(id, new CallAnswer.Accepted());
          admission.stored(newJob, outgoing);
        },
        loss -> notAccepted(id, loss, retryAfter),
        context);
  }

  /**
   * Keeps a cancel until the pending submission of its job has an outcome.
   *
   * @return false if no submission of the job is pending
   */
  boolean deferCancel(JobQuery cancel) {
    PendingSubmission pendingSubmission = pending.get(cancel.job());
    if (pendingSubmission == null || !pendingSubmission.scope().matches(cancel.scope())) {
      return false;
    }
    pendingSubmission.cancels().add(cancel);
    return true;
  }

  /** Removes and returns the cancels that waited for a submission which now has an outcome. */
  List<JobQuery> takeDueCancels() {
    List<JobQuery> due = List.copyOf(dueCancels);
    dueCancels.clear();
    return due;
  }

  private void accepted(ActiveJob active) {
    jobs.accept(active);
    BatchJob job = active.job();
    long chain = job.submission().estimatedChainMillis();
    note(
        BatchLogEvent.JOB_ACCEPTED,
        job.id(),
        job.queue().name(),
        job.organisation(),
        job.submission().tasks(),
        Math.round(job.submission().estimatedCoreSeconds()),
        chain,
        job.queue().objectiveMillis(chain));
    complete(job.id(), new CallAnswer.Accepted());
  }

  private void notAccepted(String id, CommitFailure loss, LongSupplier retryAfter) {
    switch (loss) {
      case NOT_STORED -> {
        long retryAfterMillis = retryAfter.getAsLong();
        String cause = RefusalCause.STORE_AWAY.tag();
        outgoing.add(new BatchCommand.Count("fescuehook.batch.refused", "cause", cause));
        note(BatchLogEvent.JOB_REFUSED, id, loss, retryAfterMillis);
        complete(id, new CallAnswer.Refused(RefusalCause.STORE_AWAY, retryAfterMillis));
      }
      case UNKNOWN -> {
        note(BatchLogEvent.JOB_UNDECIDED, id, loss);
        complete(id, new CallAnswer.Undecided(UndecidedCause.OWNERSHIP_LOST));
      }
    }
  }

  private void complete(String id, CallAnswer answer) {
    PendingSubmission pendingSubmission = pending.remove(id);
    pendingSubmission.tickets().forEach(ticket -> answer(ticket, answer));
    dueCancels.addAll(pendingSubmission.cancels());
  }

  private void answer(long ticket, CallAnswer answer) {
    outgoing.add(new BatchCommand.Answer(ticket, answer));
  }

  private void note(BatchLogEvent event, Object... arguments) {
    outgoing.add(new BatchCommand.Note(event, List.of(arguments)));
  }
}
