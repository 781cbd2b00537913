package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.state.JobDuty;
import org.fescuehook.logic.batch.state.OpenJob;

/**
 * Cancels of jobs: confirmed once the store has them and the executors have taken the stops, and
 * undecided if the epoch ends before. A caller that was told so need not rely on this owner any
 * more: whatever becomes of it, nothing of the job runs on.
 */
final class CancelDesk {

  private final JobDuty jobs;
  private final SubmissionDesk submissions;
  private final List<BatchCommand> ready;

  /** Tickets of cancels that are on their way to the store. */
  private final Set<Long> cancelling = new LinkedHashSet<>();

  /** Cancels that are stored, and wait for the stops of their jobs' runs. */
  private final List<JobQuestion> stopping = new ArrayList<>();

  /**
   * Creates a desk without cancels.
   *
   * @param ready takes answers for the next turn
   */
  CancelDesk(JobDuty jobs, SubmissionDesk submissions, List<BatchCommand> ready) {
    this.jobs = jobs;
    this.submissions = submissions;
    this.ready = ready;
  }

  /**
   * Cancels jobs whose submissions have been decided since their cancels came, and confirms the
   * cancels whose jobs have been stopped.
   */
  void step(BatchTurn turn) {
    submissions.takeDueCancels().forEach(due -> cancel(due, turn));
    Iterator<JobQuestion> stored = stopping.iterator();
    while (stored.hasNext()) {
      JobQuestion cancel = stored.next();
      if (jobs.stopped(cancel.job(), turn)) {
        answer(cancel.ticket(), new CallAnswer.Cancelled());
        stored.remove();
      }
    }
  }

  /** Takes a cancel. */
  void cancel(JobQuestion cancel, BatchTurn turn) {
    if (submissions.cancelledMeanwhile(cancel)) {
      return;
    }
    Optional<OpenJob> job = jobs.book().open(cancel.job());
    if (job.isEmpty()) {
      cancelUnknown(cancel, turn);
      return;
    }
    cancelling.add(cancel.ticket());
    Runnable stored = () -> stored(cancel);
    if (!job.get().open()) {
      // Its end may be on its way to the store.
      jobs.persist(job.get(), stored);
      return;
    }
    jobs.cancel(job.get(), stored, turn);
  }

  /**
   * Answers the cancel of a job that is over, or not known. Its submission may still come, as
   * callers and VMs repeat what had no answer; so the store remembers the cancel before the caller
   * is told that there is no such job.
   */
  private void cancelUnknown(JobQuestion cancel, BatchTurn turn) {
    if (jobs.book().shown(cancel.job()).isPresent()) {
      answer(cancel.ticket(), new CallAnswer.Cancelled());
      return;
    }
    turn.note(BatchLogEvent.UNKNOWN_JOB_CANCELLED, cancel.job());
    cancelling.add(cancel.ticket());
    jobs.cancelEarly(cancel.job(), () -> rememberedEarly(cancel), turn);
  }

  private void rememberedEarly(JobQuestion cancel) {
    if (cancelling.remove(cancel.ticket())) {
      boolean came = jobs.book().shown(cancel.job()).isPresent();
      answer(cancel.ticket(), came ? new CallAnswer.Cancelled() : new CallAnswer.NoSuchJob());
    }
  }

  private void stored(JobQuestion cancel) {
    if (cancelling.remove(cancel.ticket())) {
      stopping.add(cancel);
    }
  }

  /** Ends the epoch. Jobs may have ended in the store or not; the next owner ends them. */
  void close() {
    CallAnswer undecided = new CallAnswer.Undecided(UndecidedCause.OWNERSHIP_LOST);
    submissions.takeDueCancels().forEach(due -> answer(due.ticket(), undecided));
    cancelling.forEach(ticket -> answer(ticket, undecided));
    cancelling.clear();
    stopping.forEach(cancel -> answer(cancel.ticket(), undecided));
    stopping.clear();
  }

  private void answer(long ticket, CallAnswer answer) {
    ready.add(new BatchCommand.Answer(ticket, answer));
  }
}
