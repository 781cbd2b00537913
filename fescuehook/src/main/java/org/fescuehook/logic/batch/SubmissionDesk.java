package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobCodec;
import org.fescuehook.logic.batch.state.JobLifecycle;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.store.CommitFailure;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.JobQueue;

/**
 * Submissions on their way to the store: accepted once stored, refused if they surely are not, and
 * undecided otherwise. The same id again joins the submission under way.
 */
final class SubmissionDesk {

  private final JobLifecycle jobs;
  private final StateWriter writer;
  private final List<BatchCommand> ready;
  private final Map<String, Submitting> underWay = new LinkedHashMap<>();
  private final List<JobQuestion> dueCancels = new ArrayList<>();

  /**
   * Creates a desk without submissions.
   *
   * @param ready takes answers and events for the next turn
   */
  SubmissionDesk(JobLifecycle jobs, StateWriter writer, List<BatchCommand> ready) {
    this.jobs = jobs;
    this.writer = writer;
    this.ready = ready;
  }

  /** Tells whether a submission is a repetition: of a stored job, or of one on its way there. */
  boolean joined(long ticket, String id) {
    if (jobs.book().shown(id).isPresent()) {
      answer(ticket, new CallAnswer.Accepted());
      return true;
    }
    Submitting earlier = underWay.get(id);
    if (earlier == null) {
      return false;
    }
    earlier.tickets().add(ticket);
    return true;
  }

  /**
   * Sends a submission to the store.
   *
   * @param comeBackMillis when its caller comes back if the store does not take it
   */
  void submit(
      long ticket,
      BatchCall.Submit submit,
      JobQueue queue,
      String organisation,
      long comeBackMillis,
      BatchContext context) {
    String id = submit.job();
    Optional<JobRegistry.EndedJob> cancelled = jobs.book().earlyCancel(id);
    if (cancelled.isPresent()) {
      submitCancelled(ticket, id, cancelled.get(), comeBackMillis, context);
      return;
    }
    BatchJob job = new BatchJob(id, queue, organisation, context.wallMillis(), submit.submission());
    underWay.put(id, Submitting.of(ticket));
    writer.putExpiring(
        JobCodec.jobKey(id),
        () -> Optional.of(JobCodec.encode(job)),
        () -> accepted(job),
        loss -> notAccepted(id, loss, comeBackMillis),
        context);
  }

  /** Accepts a job whose cancel came before it: it has ended from the beginning. */
  private void submitCancelled(
      long ticket,
      String id,
      JobRegistry.EndedJob cancelled,
      long comeBackMillis,
      BatchContext context) {
    underWay.put(id, Submitting.of(ticket));
    writer.putExpiring(
        JobCodec.progressKey(id),
        () -> Optional.of(JobCodec.encodeEnd(cancelled)),
        () -> {
          jobs.book().addEnded(id, cancelled, context.nowNanos());
          note(BatchLogEvent.CANCELLED_JOB_ACCEPTED, id);
          decided(id, new CallAnswer.Accepted());
        },
        loss -> notAccepted(id, loss, comeBackMillis),
        context);
  }

  /** Keeps a cancel of a submission under way until that is decided; false if there is none. */
  boolean cancelledMeanwhile(JobQuestion cancel) {
    Submitting waiters = underWay.get(cancel.job());
    if (waiters == null) {
      return false;
    }
    waiters.cancels().add(cancel);
    return true;
  }

  /** Returns, once, the cancels whose submissions have been decided. */
  List<JobQuestion> takeDueCancels() {
    List<JobQuestion> due = List.copyOf(dueCancels);
    dueCancels.clear();
    return due;
  }

  private void accepted(BatchJob job) {
    jobs.book().add(new ActiveJob(job));
    jobs.changed();
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
    decided(job.id(), new CallAnswer.Accepted());
  }

  private void notAccepted(String id, CommitFailure loss, long comeBackMillis) {
    switch (loss) {
      case NOT_STORED -> {
        note(BatchLogEvent.JOB_REFUSED, id, loss, comeBackMillis);
        decided(id, new CallAnswer.Refused(RefusalCause.STORE_AWAY, comeBackMillis));
      }
      case UNKNOWN -> {
        note(BatchLogEvent.JOB_UNDECIDED, id, loss);
        decided(id, new CallAnswer.Undecided(UndecidedCause.OWNERSHIP_LOST));
      }
    }
  }

  private void decided(String id, CallAnswer answer) {
    Submitting waiters = underWay.remove(id);
    waiters.tickets().forEach(ticket -> answer(ticket, answer));
    dueCancels.addAll(waiters.cancels());
  }

  private void answer(long ticket, CallAnswer answer) {
    ready.add(new BatchCommand.Answer(ticket, answer));
  }

  private void note(BatchLogEvent event, Object... arguments) {
    ready.add(new BatchCommand.Note(event, List.of(arguments)));
  }
}
