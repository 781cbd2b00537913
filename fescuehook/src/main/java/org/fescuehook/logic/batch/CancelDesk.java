package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobLifecycle;
import org.fescuehook.logic.batch.state.LiveRun;

/**
 * Cancels of jobs: confirmed once the store has them and the executors have taken the stops, so
 * that nothing of the job goes on whatever becomes of this owner; undecided if the epoch ends
 * before.
 */
final class CancelDesk {

  private final JobLifecycle jobs;
  private final SubmissionDesk submissions;
  private final List<BatchCommand> ready;

  /** Tickets of cancels that are on their way to the store. */
  private final Set<Long> awaitingStore = new LinkedHashSet<>();

  /** Cancels that are stored. */
  private final List<Stopping> awaitingStops = new ArrayList<>();

  /**
   * A cancel that waits for the runs of its job.
   *
   * @param runs those that may go on
   */
  private record Stopping(JobQuestion cancel, List<LiveRun> runs) {}

  /**
   * Creates a desk without cancels.
   *
   * @param ready takes answers for the next turn
   */
  CancelDesk(JobLifecycle jobs, SubmissionDesk submissions, List<BatchCommand> ready) {
    this.jobs = jobs;
    this.submissions = submissions;
    this.ready = ready;
  }

  /**
   * Cancels jobs whose submissions have been decided since their cancels came, and confirms the
   * cancels whose jobs have been stopped.
   */
  void step(BatchContext context) {
    submissions.takeDueCancels().forEach(due -> cancel(due, context));
    Iterator<Stopping> waiting = awaitingStops.iterator();
    while (waiting.hasNext()) {
      Stopping next = waiting.next();
      next.runs().removeIf(run -> !jobs.goesOn(run, context));
      if (next.runs().isEmpty()) {
        answer(next.cancel().ticket(), new CallAnswer.Cancelled());
        waiting.remove();
      } else if (context.nowNanos() - next.cancel().until() >= 0) {
        // Its caller has been told that it is undecided.
        waiting.remove();
      }
    }
  }

  /** Takes a cancel. */
  void cancel(JobQuestion cancel, BatchContext context) {
    if (submissions.cancelledMeanwhile(cancel)) {
      return;
    }
    Optional<ActiveJob> job = jobs.book().open(cancel.job());
    if (job.isEmpty()) {
      cancelEarly(cancel, context);
      return;
    }
    awaitingStore.add(cancel.ticket());
    Runnable stored = () -> stored(cancel);
    if (!job.get().open()) {
      // Its end may be on its way to the store.
      jobs.persist(job.get(), stored);
      return;
    }
    jobs.cancel(job.get(), stored, context);
  }

  /**
   * Answers the cancel of a job that is over, or not known. Its submission may still come, as
   * callers and VMs repeat what had no answer; so the store remembers the cancel before the caller
   * is told that there is no such job.
   */
  private void cancelEarly(JobQuestion cancel, BatchContext context) {
    if (jobs.book().shown(cancel.job()).isPresent()) {
      answer(cancel.ticket(), new CallAnswer.Cancelled());
      return;
    }
    context.note(BatchLogEvent.UNKNOWN_JOB_CANCELLED, cancel.job());
    awaitingStore.add(cancel.ticket());
    jobs.cancelEarly(cancel.job(), () -> storedEarly(cancel), context);
  }

  private void storedEarly(JobQuestion cancel) {
    if (awaitingStore.remove(cancel.ticket())) {
      boolean came = jobs.book().shown(cancel.job()).isPresent();
      answer(cancel.ticket(), came ? new CallAnswer.Cancelled() : new CallAnswer.NoSuchJob());
    }
  }

  private void stored(JobQuestion cancel) {
    if (awaitingStore.remove(cancel.ticket())) {
      List<LiveRun> runs =
          jobs.book().open(cancel.job()).map(ActiveJob::liveRuns).orElse(List.of());
      awaitingStops.add(new Stopping(cancel, new ArrayList<>(runs)));
    }
  }

  /** Ends the epoch. Jobs may have ended in the store or not; the next owner ends them. */
  void close() {
    CallAnswer undecided = new CallAnswer.Undecided(UndecidedCause.OWNERSHIP_LOST);
    submissions.takeDueCancels().forEach(due -> answer(due.ticket(), undecided));
    awaitingStore.forEach(ticket -> answer(ticket, undecided));
    awaitingStore.clear();
    awaitingStops.forEach(waiting -> answer(waiting.cancel().ticket(), undecided));
    awaitingStops.clear();
  }

  private void answer(long ticket, CallAnswer answer) {
    ready.add(new BatchCommand.Answer(ticket, answer));
  }
}
