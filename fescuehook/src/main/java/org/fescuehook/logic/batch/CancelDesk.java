package org.fescuehook.logic.batch;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.state.JobDuty;
import org.fescuehook.logic.batch.state.OpenJob;

/** Cancels of jobs: confirmed once the store has them, and undecided if the epoch ends before. */
final class CancelDesk {

  private final JobDuty jobs;
  private final SubmissionDesk submissions;
  private final UnknownJobDesk unknownJobs;
  private final List<BatchCommand> ready;

  /** Tickets of cancels that are on their way to the store. */
  private final Set<Long> cancelling = new LinkedHashSet<>();

  /**
   * Creates a desk without cancels.
   *
   * @param ready takes answers for the next turn
   */
  CancelDesk(
      JobDuty jobs,
      SubmissionDesk submissions,
      UnknownJobDesk unknownJobs,
      List<BatchCommand> ready) {
    this.jobs = jobs;
    this.submissions = submissions;
    this.unknownJobs = unknownJobs;
    this.ready = ready;
  }

  /** Cancels jobs whose submissions have been decided since their cancels came. */
  void step(BatchTurn turn) {
    submissions.takeDueCancels().forEach(due -> cancel(due, turn));
  }

  /** Takes a cancel. */
  void cancel(JobQuestion cancel, BatchTurn turn) {
    if (submissions.cancelledMeanwhile(cancel)) {
      return;
    }
    Optional<OpenJob> job = jobs.book().open(cancel.job());
    if (job.isEmpty()) {
      if (jobs.book().shown(cancel.job()).isPresent()) {
        answer(cancel.ticket(), new CallAnswer.Cancelled());
      } else {
        turn.note(BatchLogEvent.UNKNOWN_JOB_CANCELLED, cancel.job());
        unknownJobs.ask(cancel, turn);
      }
      return;
    }
    cancelling.add(cancel.ticket());
    Runnable stored = () -> cancelled(cancel.ticket());
    if (!job.get().open()) {
      // Its end may be on its way to the store.
      jobs.persist(job.get(), stored);
      return;
    }
    jobs.cancel(job.get(), stored, turn);
  }

  private void cancelled(long ticket) {
    if (cancelling.remove(ticket)) {
      answer(ticket, new CallAnswer.Cancelled());
    }
  }

  /** Ends the epoch. Jobs may have ended in the store or not; the next owner ends them. */
  void close() {
    CallAnswer undecided = new CallAnswer.Undecided(UndecidedCause.OWNERSHIP_LOST);
    submissions.takeDueCancels().forEach(due -> answer(due.ticket(), undecided));
    cancelling.forEach(ticket -> answer(ticket, undecided));
    cancelling.clear();
  }

  private void answer(long ticket, CallAnswer answer) {
    ready.add(new BatchCommand.Answer(ticket, answer));
  }
}
