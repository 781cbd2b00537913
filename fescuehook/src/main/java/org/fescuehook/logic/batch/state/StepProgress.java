package org.fescuehook.logic.batch.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.Incarnation;

/** How far one step of one occurrence is. */
public final class StepProgress {

  /** Runs of a step that is no gang which have to be known before one of them counts as slow. */
  private static final int FELLOWS = 3;

  /**
   * How often one task, or the whole gang, is moved since it hardly progresses: a second time its
   * estimate is to blame, which may be off by ten times.
   */
  private static final int MOST_MOVES = 1;

  private final ActiveJob job;
  private final int occurrence;
  private final int number;
  private final BatchStep spec;
  private final long chainMillis;
  private final List<TaskProgress> tasks;
  private final Set<Incarnation> failedOn = new HashSet<>();
  private int gangFailures;
  private int lastFailedGangRun;
  private int lastLostGangRun;
  private int undone;
  private OptionalLong queuedSince = OptionalLong.empty();

  StepProgress(ActiveJob job, int occurrence, int number, BatchStep spec, long chainMillis) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.spec = spec;
    this.chainMillis = chainMillis;
    this.tasks = new ArrayList<>(spec.count());
    for (int index = 0; index < spec.count(); index++) {
      tasks.add(new TaskProgress(index));
    }
    this.undone = spec.count();
  }

  /** Returns the job. */
  public ActiveJob job() {
    return job;
  }

  /** Returns the number of the occurrence. */
  public int occurrence() {
    return occurrence;
  }

  /** Returns the number of the step in the job. */
  public int number() {
    return number;
  }

  /** Returns the longest chain of work that begins here by its estimates, in milliseconds. */
  public long estimatedChainMillis() {
    return chainMillis;
  }

  /** Returns what the caller declared. */
  public BatchStep spec() {
    return spec;
  }

  /** Returns the tasks in order. */
  public List<TaskProgress> tasks() {
    return tasks;
  }

  /** Returns a task by its index; absent if there is no such task. */
  public Optional<TaskProgress> task(int index) {
    return index >= 0 && index < tasks.size() ? Optional.of(tasks.get(index)) : Optional.empty();
  }

  /** Tells whether all tasks are done. */
  public boolean done() {
    return undone == 0;
  }

  /** Returns the tasks that are not done. */
  public int undone() {
    return undone;
  }

  /** Returns the failed runs of the gang. */
  public int gangFailures() {
    return gangFailures;
  }

  /** Returns the number of the newest run of the gang that failed; 0 if none did. */
  public int lastFailedGangRun() {
    return lastFailedGangRun;
  }

  /** Returns the tasks that need a run. */
  public List<TaskProgress> waiting() {
    return tasks.stream().filter(TaskProgress::waiting).toList();
  }

  /**
   * Returns how many more tasks of a step that lasts may be stopped now: those that are not at work
   * for whatever cause count against the bound.
   */
  public int mayMiss() {
    int atWork = (int) tasks.stream().filter(TaskProgress::atWork).count();
    int most = spec.lasting().map(BatchStep.LongRunning::mostAway).orElse(spec.count());
    return Math.max(0, most - (spec.count() - atWork));
  }

  /** Returns the live runs. */
  public List<LiveRun> liveRuns() {
    return tasks.stream().flatMap(task -> task.live().stream()).toList();
  }

  /** Returns the number that the next run of the whole gang must have. */
  public int nextGangRun() {
    return tasks.stream().mapToInt(TaskProgress::lastRun).max().orElse(0) + 1;
  }

  /** Returns the newest checkpoint of any member, which holds for the gang; empty if none. */
  public String gangCheckpoint() {
    return tasks.getFirst().checkpoint();
  }

  /**
   * Returns since when it waits: since this was asked first after a run of it was begun last.
   *
   * @return monotonic time
   */
  public long queuedSince(long nowNanos) {
    if (queuedSince.isEmpty()) {
      queuedSince = OptionalLong.of(nowNanos);
    }
    return queuedSince.getAsLong();
  }

  /**
   * Returns the usual speed of the other runs of the step, in percent of their work a second;
   * absent while none shows progress. Members of a gang have the same work, so that one alone is
   * enough.
   */
  public OptionalDouble usualSpeed(LiveRun run) {
    double[] speeds =
        liveRuns().stream()
            .filter(other -> other != run && other.percent() > 0)
            .mapToDouble(LiveRun::speed)
            .sorted()
            .toArray();
    int least = spec.gang() ? 1 : FELLOWS;
    return speeds.length < least
        ? OptionalDouble.empty()
        : OptionalDouble.of(speeds[speeds.length / 2]);
  }

  /** Counts a move of a run that hardly progresses; false if it was moved often enough. */
  public boolean mayMove(LiveRun run) {
    TaskProgress counted = spec.gang() ? tasks.getFirst() : tasks.get(run.run().task().index());
    return counted.move() <= MOST_MOVES;
  }

  /** Returns its name, which begins the names of its tasks. */
  public String name() {
    return job.job().id() + "." + occurrence + "." + number;
  }

  /** Returns the name of one of its tasks. */
  public TaskName name(TaskProgress task) {
    return new TaskName(job.job().id(), occurrence, number, task.index());
  }

  /** Begins a run. */
  public void begin(TaskProgress task, LiveRun run) {
    task.begin(run);
    queuedSince = OptionalLong.empty();
    job.begin();
  }

  /** Ends the live run of a task without a result. */
  public void end(TaskProgress task) {
    task.end();
  }

  /** Marks a task done; for a gang one such end stands for all members. */
  public void finish(TaskProgress task) {
    if (spec.gang()) {
      tasks.forEach(TaskProgress::finish);
      undone = 0;
      return;
    }
    if (!task.done()) {
      task.finish();
      undone--;
    }
  }

  /** Tells whether a run of the step has failed. */
  public boolean hasFailed() {
    return !failedOn.isEmpty();
  }

  /** Tells whether a run of the step has failed on an executor. */
  public boolean failedOn(Incarnation executor) {
    return failedOn.contains(executor);
  }

  /** Tells whether a run of the step has failed on another executor. */
  public boolean failedElsewhere(Incarnation executor) {
    return failedOn.stream().anyMatch(other -> !other.equals(executor));
  }

  /**
   * Counts a failed run, once for each run of a gang; returns how often the task has failed.
   *
   * @param executor where it failed
   */
  public int fail(TaskProgress task, int run, Incarnation executor) {
    failedOn.add(executor);
    if (!spec.gang()) {
      task.fail();
      return task.failures();
    }
    if (run > lastFailedGangRun) {
      lastFailedGangRun = run;
      gangFailures++;
    }
    return gangFailures;
  }

  /**
   * Returns what the loss of an executor says against the task of a run. The first crash ends a
   * whole gang, so that its other members may have ended before their executors crashed too.
   */
  CrashEvidence against(LiveRun run, CrashEvidence evidence) {
    boolean brokenBefore = spec.gang() && run.run().number() == lastLostGangRun;
    lastLostGangRun = run.run().number();
    return brokenBefore && evidence != CrashEvidence.NONE ? CrashEvidence.DOUBTFUL : evidence;
  }

  /** Keeps the newest checkpoint of a task, or of the whole gang. */
  public void saved(TaskProgress task, String checkpoint) {
    if (!spec.gang()) {
      task.saved(checkpoint);
      return;
    }
    tasks.forEach(member -> member.saved(checkpoint));
  }

  void restoreGangFailures(int failures, int lastFailedRun) {
    gangFailures = failures;
    lastFailedGangRun = lastFailedRun;
  }

  void restore(TaskProgress task, boolean done, int failures, int lastRun, String checkpoint) {
    task.restore(done, failures, lastRun, checkpoint);
    if (done) {
      undone--;
    }
  }

  void restoreDone() {
    tasks.forEach(TaskProgress::finish);
    undone = 0;
  }
}
