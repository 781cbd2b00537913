package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobLifecycle;
import org.fescuehook.logic.batch.state.LiveRun;

/**
 * Handles cancels of jobs. A cancel is confirmed once it is stored and the executors have
 * acknowledged the stops of the job's runs, so that none of them continues even if this owner
 * fails. If the epoch ends before, the answer is "undecided".
 */
final class CancelHandler {

  /** Delay after which callers repeat a cancel at the next owner. */
  private static final long RETRY_AFTER_MILLIS = 1000;

  private final JobLifecycle jobs;
  private final CallerJobs callerJobs;
  private final SubmissionHandler submissions;
  private final List<BatchCommand> outgoing;

  /** Tickets of cancels that are being stored. */
  private final Set<Long> awaitingStore = new LinkedHashSet<>();

  /** Cancels that are stored and wait for the runs of their jobs to stop. */
  private final List<StoredCancel> awaitingStops = new ArrayList<>();

  /**
   * A cancel that waits for the runs of its job to stop.
   *
   * @param runs the runs that may still continue
   */
  private record StoredCancel(JobQuery cancel, List<LiveRun> runs) {}

  /**
   * Creates a handler without cancels.
   *
   * @param callerJobs the jobs as callers see them
   * @param outgoing list to which answers are added; the owner sends them with its next step
   */
  CancelHandler(
      JobLifecycle jobs,
      CallerJobs callerJobs,
      SubmissionHandler submissions,
      List<BatchCommand> outgoing) {
    this.jobs = jobs;
    this.callerJobs = callerJobs;
    this.submissions = submissions;
    this.outgoing = outgoing;
  }

  /**
   * Performs the cancels that had to wait for the outcome of their job's submission, and confirms
   * the cancels whose jobs have stopped.
   */
  void step(BatchContext context) {
    submissions.takeDueCancels().forEach(due -> cancel(due, context));
    Iterator<StoredCancel> waiting = awaitingStops.iterator();
    while (waiting.hasNext()) {
      StoredCancel next = waiting.next();
      next.runs().removeIf(run -> !jobs.mayContinue(run, context));
      if (next.runs().isEmpty()) {
        answer(next.cancel().ticket(), new CallAnswer.Cancelled());
        waiting.remove();
      } else if (context.nowNanos() - next.cancel().until() >= 0) {
        // The caller has stopped waiting and takes the cancel for undecided.
        waiting.remove();
      }
    }
  }

  /** Handles a cancel. */
  void cancel(JobQuery cancel, BatchContext context) {
    if (submissions.deferCancel(cancel)) {
      return;
    }
    Optional<ActiveJob> job = callerJobs.active(cancel);
    if (job.isEmpty()) {
      cancelEarly(cancel, context);
      return;
    }
    awaitingStore.add(cancel.ticket());
    Runnable stored = () -> stored(cancel);
    if (!job.get().open()) {
      // The job has ended, but its end may not be stored yet.
      jobs.persist(job.get(), stored);
      return;
    }
    jobs.cancel(job.get(), stored, context);
  }

  /**
   * Handles the cancel of a job that has ended or is not known. The submission of an unknown job
   * may still arrive, as callers and VMs repeat unanswered calls; so the cancel is stored before
   * the caller is told that the job does not exist.
   */
  private void cancelEarly(JobQuery cancel, BatchContext context) {
    if (callerJobs.storedPhase(cancel).isPresent()) {
      answer(cancel.ticket(), new CallAnswer.Cancelled());
      return;
    }
    context.note(BatchLogEvent.UNKNOWN_JOB_CANCELLED, cancel.job());
    awaitingStore.add(cancel.ticket());
    jobs.cancelEarly(cancel.job(), cancel.scope(), () -> storedEarly(cancel), context);
  }

  private void storedEarly(JobQuery cancel) {
    if (awaitingStore.remove(cancel.ticket())) {
      boolean came = callerJobs.storedPhase(cancel).isPresent();
      answer(cancel.ticket(), came ? new CallAnswer.Cancelled() : new CallAnswer.NoSuchJob());
    }
  }

  private void stored(JobQuery cancel) {
    if (awaitingStore.remove(cancel.ticket())) {
      List<LiveRun> runs = callerJobs.active(cancel).map(ActiveJob::liveRuns).orElse(List.of());
      awaitingStops.add(new StoredCancel(cancel, new ArrayList<>(runs)));
    }
  }

  /**
   * Ends the epoch and answers all waiting cancels: those that were never sent to the store as
   * refused, the others as undecided. The next owner completes those that were stored.
   */
  void close() {
    CallAnswer refused = new CallAnswer.Refused(RefusalCause.NOT_OWNER, RETRY_AFTER_MILLIS);
    submissions.takeDueCancels().forEach(due -> answer(due.ticket(), refused));
    CallAnswer undecided = new CallAnswer.Undecided(UndecidedCause.OWNERSHIP_LOST);
    awaitingStore.forEach(ticket -> answer(ticket, undecided));
    awaitingStore.clear();
    awaitingStops.forEach(waiting -> answer(waiting.cancel().ticket(), undecided));
    awaitingStops.clear();
  }

  private void answer(long ticket, CallAnswer answer) {
    outgoing.add(new BatchCommand.Answer(ticket, answer));
  }
}
