package org.fescuehook.logic.batch;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.admission.Admission;
import org.fescuehook.logic.batch.admission.ConfigurationAge;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.state.JobLifecycle;
import org.fescuehook.logic.batch.state.JobScope;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;

/** Checks the queue and the API key of each call to the owner, and passes it to its handler. */
final class CallHandler {

  private final JobLifecycle jobs;
  private final CallerJobs callerJobs;
  private final SubmissionHandler submissions;
  private final CancelHandler cancels;
  private final UnknownJobHandler unknownJobs;
  private final Admission admission;
  private final ConfigurationAge configurationAge;
  private final List<BatchCommand> outgoing;

  /**
   * Creates a handler.
   *
   * @param callerJobs the jobs as callers see them
   * @param outgoing list to which answers are added; the owner sends them with its next step
   */
  CallHandler(
      JobLifecycle jobs,
      CallerJobs callerJobs,
      SubmissionHandler submissions,
      CancelHandler cancels,
      UnknownJobHandler unknownJobs,
      Admission admission,
      ConfigurationAge configurationAge,
      List<BatchCommand> outgoing) {
    this.jobs = jobs;
    this.callerJobs = callerJobs;
    this.submissions = submissions;
    this.cancels = cancels;
    this.unknownJobs = unknownJobs;
    this.admission = admission;
    this.configurationAge = configurationAge;
    this.outgoing = outgoing;
  }

  /**
   * Handles a call; it is answered at once, or once its effect is stored.
   *
   * @param contact how well the store can be reached, judged by the heartbeats
   */
  void handle(BatchEvent.Called event, StoreReachability contact, BatchContext context) {
    long ticket = event.ticket();
    BatchCall call = event.call();
    long until = context.nowNanos() + event.patience().toNanos();
    BatchConfiguration configuration = jobs.configuration();
    Optional<JobQueue> queue = configuration.queue(call.queue());
    Optional<BatchOrganisation> caller = configuration.organisation(call.apiKey());
    String organisation = caller.map(BatchOrganisation::name).orElse("");
    JobScope scope =
        queue
            .map(declared -> JobScope.of(declared, organisation))
            .orElseGet(() -> new JobScope(call.queue(), organisation));
    // Before the API key is checked: a VM may repeat a submission whose key was revoked meanwhile.
    if (call instanceof BatchCall.Submit submit
        && submissions.joinExisting(ticket, submit.job(), scope)) {
      return;
    }
    if (queue.isEmpty()) {
      answerUnknown(event, new CallAnswer.NoSuchQueue(), context);
      return;
    }
    if (!queue.get().open() && caller.isEmpty()) {
      answerUnknown(event, new CallAnswer.UnknownKey(), context);
      return;
    }
    switch (call) {
      case BatchCall.Submit submit ->
          submissions.handle(event, submit, queue.get(), caller, contact, context);
      case BatchCall.Status status ->
          status(new JobQuery(ticket, status.job(), scope, until), context);
      case BatchCall.Cancel cancel ->
          cancels.cancel(new JobQuery(ticket, cancel.job(), scope, until), context);
      case BatchCall.CountPending count ->
          answer(ticket, new CallAnswer.Pending(jobs.registry().pendingJobs(count.queue())));
    }
  }

  /**
   * Answers that a queue or key does not exist, or refuses the call if one may have been declared
   * since this VM last read the operators' records.
   */
  private void answerUnknown(BatchEvent.Called event, CallAnswer unknown, BatchContext context) {
    if (configurationAge.current(context.nowNanos())) {
      answer(event.ticket(), unknown);
    } else {
      Admission.Refusal refusal =
          admission.staleConfiguration(
              event.call(), configurationAge.millis(context.nowNanos()), context);
      submissions.refuse(event.ticket(), event.call().subject(), refusal, context);
    }
  }

  private void answer(long ticket, CallAnswer answer) {
    outgoing.add(new BatchCommand.Answer(ticket, answer));
  }

  private void status(JobQuery query, BatchContext context) {
    Optional<JobPhase> phase = callerJobs.storedPhase(query);
    if (phase.isPresent()) {
      answer(query.ticket(), new CallAnswer.Phase(phase.get()));
    } else {
      unknownJobs.ask(query, context);
    }
  }
}
