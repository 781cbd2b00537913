package org.fescuehook.logic.batch.state;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.Countdown;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.RunEnd;

/** Changes jobs by what becomes of their runs, and stores each change. */
public final class JobLifecycle {

  private final JobRegistry book;
  private final JobRecords records;
  private final ExecutorDuty executors;
  private BatchConfiguration configuration;
  private boolean changed = true;

  /** Creates the duty of an owner that has loaded the jobs. */
  public JobLifecycle(
      JobRegistry book,
      StateWriter writer,
      ExecutorDuty executors,
      BatchConfiguration configuration) {
    this.book = book;
    this.records = new JobRecords(book, writer);
    this.executors = executors;
    this.configuration = configuration;
  }

  /** Returns the jobs. */
  public JobRegistry book() {
    return book;
  }

  /** Takes a newer configuration. */
  public void configure(BatchConfiguration newer) {
    configuration = newer;
    changed = true;
  }

  /** Returns the queue of a job as it is declared now, or was when the job came. */
  public JobQueue queue(ActiveJob job) {
    JobQueue accepted = job.job().queue();
    return configuration.queue(accepted.name()).orElse(accepted);
  }

  /** Returns the configuration in force. */
  public BatchConfiguration configuration() {
    return configuration;
  }

  /** Returns the pools that jobs may run in: those of declared queues, and of jobs kept open. */
  public Set<String> pools() {
    Set<String> pools = new HashSet<>();
    configuration.queues().values().forEach(queue -> pools.add(queue.pool()));
    book.openJobs().forEach(job -> pools.add(queue(job).pool()));
    return pools;
  }

  /** Tells whether a plan may turn out differently since this was asked last. */
  public boolean takeChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  /** Has the next plan looked at everything anew. */
  public void changed() {
    changed = true;
  }

  /** Stores how far a job is. */
  public void persist(ActiveJob job, Runnable committed) {
    records.persist(job, committed);
  }

  /** Ends a job that its caller cancelled. */
  public void cancel(ActiveJob job, Runnable committed, BatchContext context) {
    end(job, JobPhase.CANCELLED, committed, context);
  }

  /** Remembers the cancel of a job that is not known, as its submission may still come. */
  public void cancelEarly(String id, Runnable committed, BatchContext context) {
    records.cancelEarly(id, committed, context);
  }

  private void end(ActiveJob job, JobPhase phase, Runnable committed, BatchContext context) {
    long millis = context.wallMillis() - job.job().acceptedMillis();
    context.note(BatchLogEvent.JOB_ENDED, job.job().id(), phase, millis);
    context.stage("whole", Math.max(0, TimeUnit.MILLISECONDS.toNanos(millis)));
    context.count("fescuehook.batch.jobs.ended", "phase", phase.name());
    job.end(phase, context.wallMillis());
    if (phase != JobPhase.COMPLETED) {
      job.liveRuns().forEach(run -> executors.stop(run, "its job ended", context));
    }
    records.end(job, committed, context);
    changed = true;
  }

  /** Retires the jobs of former owners that have ended and of which nothing runs. */
  public void retireGone(BatchContext context) {
    book.openJobs().forEach(job -> records.retireIfGone(job, context));
  }

  /** Tells whether a run may go on for longer than callers of a cancel expect. */
  public boolean goesOn(LiveRun run, BatchContext context) {
    return run.task().isLive(run) && !executors.registry().endsSoon(run, context.nowNanos());
  }

  /** A run of a former owner is at work: it is stopped if nobody wants it any more. */
  public void foundRunning(LiveRun run, BatchContext context) {
    StepProgress step = run.step();
    if (!step.job().open()) {
      executors.stop(run, "its job ended", context);
    } else if (run.task().done()) {
      executors.stop(run, "its task is done", context);
    } else if (step.spec().gang() && !step.waiting().isEmpty()) {
      // The former owner may not have come to stop the others.
      breakGang(step, context);
    }
  }

  /** A run has ended. */
  public void ended(LiveRun run, EndedRun end, Countdown stored, BatchContext context) {
    noteEnd(run, end.end(), context);
    StepProgress step = run.step();
    TaskProgress task = run.task();
    step.end(task);
    step.saved(task, end.checkpoint());
    changed = true;
    if (!step.job().open()) {
      endedAfterJob(step.job(), stored, context);
      return;
    }
    stored.hold();
    Runnable committed = stored::release;
    if (step.spec().lasting().isPresent()) {
      // It starts again however it ended.
      if (!givenUp(step, task, committed, context)) {
        persist(step.job(), committed);
      }
      return;
    }
    switch (end.end()) {
      case DONE -> finish(step, task, committed, context);
      case FAILED -> fail(run, task, committed, context);
      case STOPPED, LEASE_EXPIRED, GANG_BROKEN, GANG_INCOMPLETE -> {
        if (!givenUp(step, task, committed, context)) {
          breakGang(step, context);
          persist(step.job(), committed);
        }
      }
    }
  }

  private void endedAfterJob(ActiveJob job, Countdown stored, BatchContext context) {
    if (!job.shown().ended()) {
      // The end of the job is on its way to the store; this end is acknowledged after it.
      stored.hold();
      persist(job, stored::release);
    }
    records.retireIfGone(job, context);
  }

  private static void noteEnd(LiveRun run, RunEnd end, BatchContext context) {
    long millis = (context.nowNanos() - run.placedAt()) / 1_000_000;
    context.note(BatchLogEvent.RUN_ENDED, run.run(), run.incarnation(), end, run.percent(), millis);
    context.stage("ran", context.nowNanos() - run.placedAt());
    context.count("fescuehook.batch.runs.ended", "how", end.name());
  }

  private void finish(
      StepProgress step, TaskProgress task, Runnable committed, BatchContext context) {
    step.finish(task);
    if (step.job().allDone()) {
      end(step.job(), JobPhase.COMPLETED, committed, context);
    } else {
      persist(step.job(), committed);
    }
  }

  private void fail(LiveRun run, TaskProgress task, Runnable committed, BatchContext context) {
    StepProgress step = run.step();
    int failures = step.fail(task, run.run().number(), run.incarnation());
    if (!step.done() && failures >= queue(step.job()).maxAttempts()) {
      end(step.job(), JobPhase.FAILED, committed, context);
      return;
    }
    if (!givenUp(step, task, committed, context)) {
      breakGang(step, context);
      persist(step.job(), committed);
    }
  }

  /** One member is gone, so the others end too and the whole gang is tried again. */
  private void breakGang(StepProgress step, BatchContext context) {
    if (step.spec().gang() && !step.done()) {
      step.liveRuns().forEach(run -> executors.stop(run, "a member of its gang ended", context));
    }
  }

  /** A run that was given up has ended; done work counts all the same. */
  public void strayEnded(EndedRun end, Countdown stored, BatchContext context) {
    if (end.end() != RunEnd.DONE) {
      return;
    }
    Optional<ActiveJob> job = book.open(end.run().task().job());
    Optional<StepProgress> step =
        job.flatMap(open -> open.step(end.run().task().occurrence(), end.run().task().step()));
    Optional<TaskProgress> task = step.flatMap(found -> found.task(end.run().task().index()));
    if (task.isEmpty() || step.get().spec().lasting().isPresent()) {
      return;
    }
    stored.hold();
    if (task.get().done() || !job.get().open()) {
      // Perhaps known to this owner alone: the next one would not find the end, and start it again.
      records.whenStored(job.get(), stored::release);
      return;
    }
    finish(step.get(), task.get(), stored::release, context);
    // Another run of the task may be under way elsewhere.
    task.get().live().ifPresent(run -> executors.stop(run, "its task is done", context));
  }

  /** A run is gone without an end. */
  public void lost(LiveRun run, BatchContext context) {
    StepProgress step = run.step();
    TaskProgress task = run.task();
    if (!task.isLive(run)) {
      return;
    }
    step.end(task);
    changed = true;
    if (!step.job().open()) {
      records.retireIfGone(step.job(), context);
      return;
    }
    if (givenUp(step, task, () -> {}, context)) {
      return;
    }
    breakGang(step, context);
    persist(step.job(), () -> {});
  }

  /**
   * A run is gone with its executor. Its task may have caused that, and would do so again wherever
   * it starts; what speaks against it is stored, so that each owner counts on from there.
   */
  public void lostWithExecutor(LiveRun run, CrashEvidence evidence, BatchContext context) {
    StepProgress step = run.step();
    TaskProgress task = run.task();
    boolean counts = step.job().open() && !step.done() && task.isLive(run);
    if (!counts) {
      lost(run, context);
      return;
    }
    context.count("fescuehook.batch.runs.crashed", "evidence", evidence.tag());
    task.crashed(step.against(run, evidence), run.run().number());
    lost(run, context);
  }

  /** Ends the job of a task that must not be started again; false if the task may be. */
  private boolean givenUp(
      StepProgress step, TaskProgress task, Runnable committed, BatchContext context) {
    if (step.done() || !task.hopeless()) {
      return false;
    }
    CrashRecord crashes = task.crashes();
    context.note(
        BatchLogEvent.TASK_GIVEN_UP,
        step.name(task),
        crashes.early(),
        crashes.late(),
        crashes.other());
    end(step.job(), JobPhase.FAILED, committed, context);
    return true;
  }

  /** A start was rejected. */
  public void rejected(LiveRun run, Rejection rejection, BatchContext context) {
    context.note(BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), "rejected: " + rejection);
    lost(run, context);
  }

  /** No start of a run was sent, so the run says nothing of its task and does not count. */
  public void unsent(LiveRun run, BatchContext context) {
    TaskProgress task = run.task();
    if (task.isLive(run)) {
      task.unsent();
    }
    lost(run, context);
  }

  /** A start had no answer. */
  public void startGivenUp(LiveRun run, BatchContext context) {
    executors.stop(run, "its start had no answer", context);
    breakGang(run.step(), context);
  }

  /** A run hardly progresses where it is. */
  public void stoodStill(LiveRun run, BatchContext context) {
    if (run.step().job().open() && !run.step().done()) {
      executors.stop(run, "it hardly progresses there", context);
      breakGang(run.step(), context);
    }
  }

  /** A run has saved progress. */
  public void saved(LiveRun run, String checkpoint) {
    StepProgress step = run.step();
    step.saved(run.task(), checkpoint);
  }

  /**
   * Work moves away from an executor that is about to leave, if it saves its progress or would not
   * end in time: what is lost with an executor can start again only when its lease has expired.
   */
  public void leaving(ExecutorState executor, BatchContext context) {
    for (LiveRun run : executor.runs().stream().toList()) {
      boolean lateThere = run.estimatedLeftMillis() > executor.profile().remainingMillis();
      boolean lasting = run.step().spec().lasting().isPresent();
      boolean moves = run.step().spec().checkpointing() || lateThere || lasting;
      if (moves && !run.step().done()) {
        executors.stop(run, "its executor is leaving", context);
        breakGang(run.step(), context);
      }
    }
  }
}
