package org.fescuehook.logic.batch.state;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.Countdown;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorSign;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.RunEnd;

/** Changes jobs according to the outcome of their runs and to cancels, and stores each change. */
public final class JobLifecycle {

  private final JobRegistry registry;
  private final JobRecords records;
  private final ExecutorDuty executors;
  private final RunStops stops;
  private final SchedulingStatistics statistics;
  private final UnresolvedLosses unresolvedLosses;
  private BatchConfiguration configuration;
  private boolean changed = true;

  /** Creates the lifecycle of the jobs that a new owner has loaded. */
  public JobLifecycle(
      JobRegistry registry,
      StateWriter writer,
      ExecutorDuty executors,
      SchedulingStatistics statistics,
      BatchConfiguration configuration,
      BatchContext context) {
    this.registry = registry;
    this.records = new JobRecords(registry, writer);
    this.executors = executors;
    this.stops = new RunStops(executors);
    this.statistics = statistics;
    this.configuration = configuration;
    this.unresolvedLosses = new UnresolvedLosses(registry.activeJobs(), context.nowNanos());
  }

  /** Returns what stops runs. */
  public RunStops stops() {
    return stops;
  }

  /** Returns the jobs. */
  public JobRegistry registry() {
    return registry;
  }

  /** Applies a newer configuration. */
  public void configure(BatchConfiguration newer) {
    configuration = newer;
    changed = true;
  }

  /**
   * Returns the queue of a job as declared now or, if it was removed, when the job was accepted.
   */
  public JobQueue queue(ActiveJob job) {
    JobQueue accepted = job.job().queue();
    return configuration.queue(accepted.name()).orElse(accepted);
  }

  /** Returns the configuration in force. */
  public BatchConfiguration configuration() {
    return configuration;
  }

  /** Returns the pools that jobs may run in: those of all declared queues and of active jobs. */
  public Set<String> pools() {
    Set<String> pools = new HashSet<>();
    configuration.queues().values().forEach(queue -> pools.add(queue.pool()));
    registry.activeJobs().forEach(job -> pools.add(queue(job).pool()));
    return pools;
  }

  /** Returns and clears the mark that a new plan may differ from the last one. */
  public boolean takeChanged() {
    boolean result = changed;
    changed = false;
    return result;
  }

  /** Marks that a new plan may differ from the last one. */
  public void changed() {
    changed = true;
  }

  /** Stores the progress of a job. */
  public void persist(ActiveJob job, Runnable committed) {
    records.persist(job, committed);
  }

  /**
   * Adds a job that is about to be stored, so that tasks for which there is room are placed and
   * stored with it.
   */
  public void submit(ActiveJob job) {
    registry.add(job);
    changed = true;
  }

  /** Accepts a submitted job, which is stored. */
  public void accept(ActiveJob job) {
    job.accept();
    changed = true;
  }

  /** Removes a submitted job that was not stored, with its placements. */
  public void withdraw(ActiveJob job) {
    job.liveRuns().forEach(executors::withdraw);
    registry.withdraw(job);
    records.withdraw(job);
    statistics.reliability().ended(job);
    changed = true;
  }

  /** Ends a job that its caller cancelled. */
  public void cancel(ActiveJob job, Runnable committed, BatchContext context) {
    end(job, JobPhase.CANCELLED, committed, context);
  }

  /** Stores the cancel of a job that is not known, as its submission may still arrive. */
  public void cancelEarly(String id, JobScope scope, Runnable committed, BatchContext context) {
    records.cancelEarly(id, scope, committed, context);
  }

  private void end(ActiveJob job, JobPhase phase, Runnable committed, BatchContext context) {
    long millis = context.wallMillis() - job.job().acceptedMillis();
    context.note(BatchLogEvent.JOB_ENDED, job.job().id(), phase, millis);
    context.stage("whole", Math.max(0, TimeUnit.MILLISECONDS.toNanos(millis)));
    context.count("fescuehook.batch.jobs.ended", "phase", phase.name());
    job.end(phase, context.wallMillis());
    statistics.reliability().ended(job);
    if (phase != JobPhase.COMPLETED) {
      job.liveRuns().forEach(run -> stops.stop(run, WasteCause.JOB_ENDED, context));
    }
    records.end(job, committed, context);
    changed = true;
  }

  /** Retires loaded jobs that ended under a former owner and have no live runs. */
  public void retireEnded(BatchContext context) {
    registry.activeJobs().forEach(job -> records.retireIfEnded(job, context));
  }

  /**
   * Returns whether a run may continue for long if this owner fails now: it is live, its executor
   * has not acknowledged a stop, and its lease does not expire soon.
   */
  public boolean mayContinue(LiveRun run, BatchContext context) {
    return run.task().isLive(run) && !executors.registry().endsSoon(run, context.nowNanos());
  }

  /**
   * Handles the end of a run.
   *
   * @param stored held until the consequences of the end are stored; its release acknowledges the
   *     end to the executor
   */
  public void ended(LiveRun run, EndedRun end, Countdown stored, BatchContext context) {
    logEnd(run, end.end(), context);
    WastedWork.ended(run, end.end(), context);
    statistics.runTimes().ended(run, end.end(), context.nowNanos());
    StepProgress step = run.step();
    TaskProgress task = run.task();
    step.end(task);
    step.checkpointSaved(task, end.checkpoint());
    changed = true;
    if (!step.job().open()) {
      endedAfterJob(step.job(), stored, context);
      return;
    }
    stored.hold();
    Runnable committed = stored::release;
    if (step.spec().longRunning().isPresent()) {
      // A long-running task starts again however its run ended.
      if (!giveUpIfCrashing(step, task, committed, context)) {
        persist(step.job(), committed);
      }
      return;
    }
    switch (end.end()) {
      case DONE -> finish(step, task, committed, context);
      case FAILED -> fail(run, task, committed, context);
      case STOPPED, LEASE_EXPIRED, GANG_BROKEN, GANG_INCOMPLETE -> {
        if (!giveUpIfCrashing(step, task, committed, context)) {
          stops.breakGang(run, WasteCause.OTHER, context);
          persist(step.job(), committed);
        }
      }
    }
  }

  private void endedAfterJob(ActiveJob job, Countdown stored, BatchContext context) {
    if (!job.storedPhase().ended()) {
      // The end of the job is not stored yet; the end of the run is acknowledged after it.
      stored.hold();
      persist(job, stored::release);
    }
    records.retireIfEnded(job, context);
  }

  private static void logEnd(LiveRun run, RunEnd end, BatchContext context) {
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
    int failures = step.fail(task, run.run().number(), run.incarnation(), context.nowNanos());
    step.setLastFailedMillis(context.wallMillis());
    if (!step.done() && failures >= queue(step.job()).maxAttempts()) {
      end(step.job(), JobPhase.FAILED, committed, context);
      return;
    }
    if (!giveUpIfCrashing(step, task, committed, context)) {
      stops.breakGang(run, WasteCause.FAILED, context);
      persist(step.job(), committed);
    }
  }

  /**
   * Handles the end of a run that the owner had given up or does not know. If the run is done, its
   * task is done all the same; any other end is ignored.
   */
  public void strayEnded(EndedRun end, Countdown stored, BatchContext context) {
    if (end.end() != RunEnd.DONE) {
      return;
    }
    Optional<ActiveJob> job = registry.active(end.run().task().job());
    Optional<StepProgress> step =
        job.flatMap(open -> open.step(end.run().task().occurrence(), end.run().task().step()));
    Optional<TaskProgress> task = step.flatMap(found -> found.task(end.run().task().index()));
    if (task.isEmpty() || step.get().spec().longRunning().isPresent()) {
      return;
    }
    stored.hold();
    if (task.get().done() || !job.get().open()) {
      // This may not be stored yet. If the end were acknowledged now and this owner failed, the
      // next owner would start the task again.
      records.whenStored(job.get(), stored::release);
      return;
    }
    finish(step.get(), task.get(), stored::release, context);
    // Another run of the task may be live elsewhere.
    task.get().live().ifPresent(run -> stops.stop(run, WasteCause.TASK_DONE, context));
  }

  /** Handles a run that is lost: it is dead, but its executor reported no end. */
  public void lost(LiveRun run, BatchContext context) {
    StepProgress step = run.step();
    TaskProgress task = run.task();
    if (!task.isLive(run)) {
      return;
    }
    WastedWork.lost(run, context);
    if (run.stage() == LiveRun.Stage.PLACED) {
      task.startNotSent();
    }
    step.end(task);
    changed = true;
    if (!step.job().open()) {
      records.retireIfEnded(step.job(), context);
      return;
    }
    if (giveUpIfCrashing(step, task, () -> {}, context)) {
      return;
    }
    stops.breakGang(run, WasteCause.LOST, context);
    persist(step.job(), () -> {});
  }

  /**
   * Handles a run that was lost with its executor. Its task may have crashed the executor and may
   * crash every other one it starts on, so the evidence against it is counted and stored; the next
   * owner continues the count.
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
    task.crashed(step.evidenceAgainst(run, evidence), run.run().number(), run.incarnation());
    unresolvedLosses.add(step, task, context.nowNanos());
    lost(run, context);
  }

  /** Handles a sign of what became of an executor, which may have been lost before. */
  public void observed(ExecutorSign sign, BatchContext context) {
    lossesResolved(unresolvedLosses.observed(sign, context), context);
  }

  /** Gives up tasks whose lost executors have not been listed for some time, if they must be. */
  public void step(BatchContext context) {
    lossesResolved(unresolvedLosses.expire(executors.registry()::listed, context), context);
  }

  private void lossesResolved(List<UnresolvedLosses.LostTask> tasks, BatchContext context) {
    for (UnresolvedLosses.LostTask lost : tasks) {
      changed = true;
      StepProgress step = lost.step();
      boolean givenUp =
          lost.task().waiting() && giveUpIfCrashing(step, lost.task(), () -> {}, context);
      if (!givenUp && step.job().open()) {
        persist(step.job(), () -> {});
      }
    }
  }

  /**
   * Fails the job of a task that must not be started again.
   *
   * @return false if the task may be started again
   */
  private boolean giveUpIfCrashing(
      StepProgress step, TaskProgress task, Runnable committed, BatchContext context) {
    if (step.done() || !task.mustGiveUp()) {
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

  /** Handles a run whose start the executor rejected. */
  public void startRejected(LiveRun run, Rejection rejection, BatchContext context) {
    context.note(BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), "rejected: " + rejection);
    lost(run, context);
  }

  /** Handles a run whose start was never sent; it does not count as a run of its task. */
  public void startNotSent(LiveRun run, BatchContext context) {
    TaskProgress task = run.task();
    if (task.isLive(run)) {
      task.startNotSent();
    }
    lost(run, context);
  }

  /** Records a checkpoint that a run has saved. */
  public void checkpointSaved(LiveRun run, String checkpoint) {
    StepProgress step = run.step();
    step.checkpointSaved(run.task(), checkpoint);
  }
}
