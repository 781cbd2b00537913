package org.fescuehook.logic.batch.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.Incarnation;

/** The progress of one step in one occurrence of a job. */
public final class StepProgress {

  /**
   * Number of other runs with known speed that are needed to compare a run with, unless the step is
   * a gang.
   */
  private static final int MIN_OTHER_RUNS = 3;

  /**
   * How often one task, or the whole gang, is moved because it makes hardly any progress. If it is
   * slow a second time, the cause is its estimate, which may be wrong by a factor of ten.
   */
  private static final int MAX_MOVES = 1;

  private final ActiveJob job;
  private final int occurrence;
  private final int number;
  private final BatchStep spec;
  private final long chainMillis;
  private final List<TaskProgress> tasks;
  private int gangFailures;
  private int lastFailedGangRun;
  private int lastLostGangRun;
  private long lastFailedMillis;
  private int remaining;
  private boolean stopsOrdered;
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
    this.remaining = spec.count();
  }

  /** Returns the job. */
  public ActiveJob job() {
    return job;
  }

  /** Returns the number of the occurrence. */
  public int occurrence() {
    return occurrence;
  }

  /** Returns the number of the step in its occurrence. */
  public int number() {
    return number;
  }

  /**
   * Returns the estimated duration of the longest chain of dependent steps that begins with this
   * one, in milliseconds.
   */
  public long estimatedChainMillis() {
    return chainMillis;
  }

  /** Returns the step as submitted by the caller. */
  public BatchStep spec() {
    return spec;
  }

  /** Returns the tasks, ordered by index. */
  public List<TaskProgress> tasks() {
    return tasks;
  }

  /** Returns a task by its index; empty if there is no such task. */
  public Optional<TaskProgress> task(int index) {
    return index >= 0 && index < tasks.size() ? Optional.of(tasks.get(index)) : Optional.empty();
  }

  /** Returns whether all tasks are done. */
  public boolean done() {
    return remaining == 0;
  }

  /** Returns the number of tasks that are not done. */
  public int remaining() {
    return remaining;
  }

  /** Returns the number of failed runs of the gang. */
  public int gangFailures() {
    return gangFailures;
  }

  /** Returns the number of the newest failed run of the gang; 0 if no run failed. */
  public int lastFailedGangRun() {
    return lastFailedGangRun;
  }

  /**
   * Returns when a run of the step last failed, milliseconds since 1970; empty if none is known to
   * have failed. A time before the job was accepted counts as now, since the clock was set or an
   * earlier version did not store the time.
   */
  public OptionalLong lastFailedMillis(long wallMillis) {
    boolean failed =
        lastFailedMillis > 0
            || gangFailures > 0
            || tasks.stream().anyMatch(task -> task.failures() > 0);
    if (!failed) {
      return OptionalLong.empty();
    }
    boolean possible = lastFailedMillis >= job.job().acceptedMillis();
    return OptionalLong.of(possible ? lastFailedMillis : wallMillis);
  }

  /** Returns the time of the last failure as it is stored; 0 if none is known. */
  long storedFailureMillis() {
    return lastFailedMillis;
  }

  /** Returns the tasks that are neither done nor have a live run. */
  public List<TaskProgress> waiting() {
    return tasks.stream().filter(TaskProgress::waiting).toList();
  }

  /** Returns the waiting tasks that may be started now. */
  public List<TaskProgress> startable() {
    return tasks.stream().filter(task -> task.waiting() && !task.mustWait()).toList();
  }

  /**
   * Returns how many more tasks of a long-running step may be stopped now. Tasks that are not past
   * their startup, for whatever cause, count against the declared limit.
   */
  public int disruptionsAllowed() {
    int atWork = (int) tasks.stream().filter(TaskProgress::atWork).count();
    int maxUnavailable =
        spec.longRunning().map(BatchStep.LongRunning::maxUnavailable).orElse(spec.count());
    return Math.max(0, maxUnavailable - (spec.count() - atWork));
  }

  /** Returns the live runs of all tasks. */
  public List<LiveRun> liveRuns() {
    return tasks.stream().flatMap(task -> task.live().stream()).toList();
  }

  /** Returns the number for the next run of the gang, which all its members share. */
  public int nextGangRun() {
    return tasks.stream().mapToInt(TaskProgress::lastRun).max().orElse(0) + 1;
  }

  /** Returns the newest checkpoint of any member, which is valid for the whole gang; else empty. */
  public String gangCheckpoint() {
    return tasks.getFirst().checkpoint();
  }

  /**
   * Returns since when the step has been waiting for runs: since the first call of this method
   * after a run of the step was last started.
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
   * Returns the median speed of the other live runs of the step, in percent of their work per
   * second; empty while too few of them have made progress. The members of a gang have equal work,
   * so that one other member is enough.
   */
  public OptionalDouble medianSpeedOfOthers(LiveRun run) {
    double[] speeds =
        liveRuns().stream()
            .filter(other -> other != run && other.percent() > 0)
            .mapToDouble(LiveRun::speed)
            .sorted()
            .toArray();
    int least = spec.gang() ? 1 : MIN_OTHER_RUNS;
    return speeds.length < least
        ? OptionalDouble.empty()
        : OptionalDouble.of(speeds[speeds.length / 2]);
  }

  /**
   * Returns since when a run can make progress, monotonic time: the members of a gang do so once
   * all of them run. Empty if it cannot yet.
   */
  public OptionalLong ableToProgressSince(LiveRun run) {
    if (!spec.gang()) {
      return OptionalLong.of(run.stageSince());
    }
    List<LiveRun> members = liveRuns();
    boolean complete =
        members.size() == spec.count()
            && members.stream().allMatch(member -> member.stage() == LiveRun.Stage.RUNNING);
    return complete
        ? members.stream()
            .mapToLong(LiveRun::stageSince)
            .reduce((one, other) -> other - one > 0 ? other : one)
        : OptionalLong.empty();
  }

  /**
   * Counts a move of a run that makes hardly any progress.
   *
   * @return false if its task, or its gang, was already moved as often as is allowed
   */
  public boolean countMove(LiveRun run) {
    return counted(run.task()).move() <= MAX_MOVES;
  }

  /** Returns the name of the step, which is the prefix of the names of its tasks. */
  public String name() {
    return job.job().id() + "." + occurrence + "." + number;
  }

  /** Returns the name of a task of the step. */
  public TaskName name(TaskProgress task) {
    return new TaskName(job.job().id(), occurrence, number, task.index());
  }

  /** Records that other runs are being stopped so that it can start. */
  public void markStopsOrdered() {
    stopsOrdered = true;
  }

  /** Returns whether other runs have been stopped for it since a run of it was last started. */
  public boolean stopsOrdered() {
    return stopsOrdered;
  }

  /** Starts a run of a task. */
  public void begin(TaskProgress task, LiveRun run) {
    task.begin(run);
    queuedSince = OptionalLong.empty();
    stopsOrdered = false;
    job.begin();
  }

  /** Removes the live run of a task, without a result. */
  public void end(TaskProgress task) {
    task.end();
  }

  /** Marks a task as done; if the step is a gang, all its members are done with it. */
  public void finish(TaskProgress task) {
    if (spec.gang()) {
      tasks.forEach(TaskProgress::finish);
      remaining = 0;
      return;
    }
    if (!task.done()) {
      task.finish();
      remaining--;
    }
  }

  /**
   * Returns the executors on which a task, or any member of its gang, has failed since a time under
   * this owner.
   *
   * @param earliestNanos monotonic time
   */
  public Set<Incarnation> failedOnSince(TaskProgress task, long earliestNanos) {
    return counted(task).failedOnSince(earliestNanos);
  }

  /** Returns whether a run of the step has failed on any other executor. */
  public boolean failedElsewhere(Incarnation executor) {
    return tasks.stream().anyMatch(task -> task.failedElsewhere(executor));
  }

  /** Returns the task for which failures and moves are counted: for a gang always the same one. */
  private TaskProgress counted(TaskProgress task) {
    return spec.gang() ? tasks.getFirst() : task;
  }

  /**
   * Counts a failed run. A run of a gang counts once, however many of its members fail.
   *
   * @param run number of the run
   * @param executor executor on which it failed
   * @param nowNanos monotonic time
   * @return how often the task or the gang has failed
   */
  public int fail(TaskProgress task, int run, Incarnation executor, long nowNanos) {
    counted(task).failedOn(executor, nowNanos);
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
   * Returns the evidence that a run caused the loss of its executor. The first crash under a gang
   * stops all its members; so if further executors of the same run crash, these members may have
   * ended before, and the evidence is doubtful.
   */
  CrashEvidence evidenceAgainst(LiveRun run, CrashEvidence evidence) {
    boolean brokenBefore = spec.gang() && run.run().number() == lastLostGangRun;
    lastLostGangRun = run.run().number();
    return switch (evidence) {
      case NONE, UNRESOLVED, GONE, DOUBTFUL -> evidence;
      case WEAK, STRONG, STRONG_ALONE -> brokenBefore ? CrashEvidence.DOUBTFUL : evidence;
    };
  }

  /** Records the newest checkpoint of a task, or of the whole gang. */
  public void checkpointSaved(TaskProgress task, String checkpoint) {
    if (!spec.gang()) {
      task.checkpointSaved(checkpoint);
      return;
    }
    tasks.forEach(member -> member.checkpointSaved(checkpoint));
  }

  void restoreGangFailures(int failures, int lastFailedRun) {
    gangFailures = failures;
    lastFailedGangRun = lastFailedRun;
  }

  /** Records when a run of the step last failed, milliseconds since 1970. */
  void setLastFailedMillis(long wallMillis) {
    lastFailedMillis = wallMillis;
  }

  void restore(TaskProgress task, boolean done, int failures, int lastRun, String checkpoint) {
    task.restore(done, failures, lastRun, checkpoint);
    if (done) {
      remaining--;
    }
  }

  void restoreDone() {
    tasks.forEach(TaskProgress::finish);
    remaining = 0;
  }
}
