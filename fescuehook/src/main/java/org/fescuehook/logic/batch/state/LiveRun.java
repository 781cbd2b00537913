package org.fescuehook.logic.batch.state;

import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;

/** A run that may be alive: it holds capacity of its executor until it is known to be over. */
public final class LiveRun {

  private static final int WHOLE_PERCENT = 100;

  /** Progress from which on the speed of a run is known to a third. */
  private static final int TELLING_PERCENT = 3;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  private final TaskRun run;
  private Incarnation incarnation;
  private final StepProgress step;
  private final String checkpoint;
  private final Optional<String> ticket;
  private final long placedAt;
  private final boolean inherited;
  private Stage stage;
  private boolean startUncertain;
  private boolean stopTaken;
  private long stopTakenAt;
  private long stageSince;
  private long orderedAt;
  private int orders;
  private int percent;
  private long reportedAt;
  private boolean judged;
  private boolean paced;
  private OptionalLong startOrderedAt = OptionalLong.empty();
  private OptionalLong runningSince = OptionalLong.empty();

  private LiveRun(
      TaskRun run,
      Incarnation incarnation,
      StepProgress step,
      String checkpoint,
      Optional<String> ticket,
      Stage stage,
      long nowNanos) {
    this.run = run;
    this.incarnation = incarnation;
    this.step = step;
    this.checkpoint = checkpoint;
    this.ticket = ticket;
    this.stage = stage;
    this.inherited = stage == Stage.INHERITED;
    this.placedAt = nowNanos;
    this.stageSince = nowNanos;
    this.reportedAt = nowNanos;
  }

  /**
   * Creates a run that was just placed.
   *
   * @param checkpoint what it goes on from; empty to begin anew
   * @param ticket what the advice service gave for the executor; absent where none is needed
   */
  public static LiveRun placed(
      TaskRun run,
      Incarnation incarnation,
      StepProgress step,
      String checkpoint,
      Optional<String> ticket,
      long nowNanos) {
    return new LiveRun(run, incarnation, step, checkpoint, ticket, Stage.PLACED, nowNanos);
  }

  /** Creates a run that a former owner had placed. */
  public static LiveRun inherited(
      TaskRun run, Incarnation incarnation, StepProgress step, long nowNanos) {
    return new LiveRun(run, incarnation, step, "", Optional.empty(), Stage.INHERITED, nowNanos);
  }

  /** How far the owner is with a run. */
  public enum Stage {
    /** Placed; the placement is being stored and no order was sent. */
    PLACED,
    /** A start was ordered and has not been answered. */
    STARTING,
    /** The executor said that it runs. */
    RUNNING,
    /** Ordered to stop; it may still run. */
    STOPPING,
    /** Taken over from a former owner; the executor has not been asked yet. */
    INHERITED
  }

  /** Returns the run. */
  public TaskRun run() {
    return run;
  }

  /** Returns the name of the executor. */
  public ExecutorId executor() {
    return incarnation.id();
  }

  /** Remembers which life of its executor has begun it. */
  public void foundOn(Incarnation found) {
    incarnation = found;
  }

  /** Returns the life of the executor that it was placed on, or that has begun it. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the step that it belongs to. */
  public StepProgress step() {
    return step;
  }

  /** Returns the task that it is a run of. */
  TaskProgress task() {
    return step.tasks().get(run.task().index());
  }

  /** Returns the checkpoint that it goes on from; each start of it carries the same one. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns what its start has to carry for the executor to take it. */
  public Optional<String> ticket() {
    return ticket;
  }

  /** Returns what it holds on the executor. */
  public ResourceVector demand() {
    return step.spec().demand();
  }

  /** Returns the stage. */
  public Stage stage() {
    return stage;
  }

  /** Returns when the stage began, monotonic time. */
  public long stageSince() {
    return stageSince;
  }

  /** Returns when it was placed or taken over, monotonic time. */
  public long placedAt() {
    return placedAt;
  }

  /** Enters a stage. */
  public void enter(Stage next, long nowNanos) {
    stage = next;
    stageSince = nowNanos;
    orders = 0;
    switch (next) {
      case STARTING -> startOrderedAt = OptionalLong.of(nowNanos);
      case RUNNING -> runningSince = OptionalLong.of(nowNanos);
      case PLACED, STOPPING, INHERITED -> {}
    }
  }

  /** Remembers that no start of it has reached the executor. */
  public void startNeverArrived() {
    startOrderedAt = OptionalLong.empty();
  }

  /** Tells whether a former owner had placed it. */
  public boolean inherited() {
    return inherited;
  }

  /** Tells whether its task may crash its executor, by what has become of earlier ones. */
  public boolean mayCrash() {
    return task().crashes().mayCrash();
  }

  /** Returns when this owner ordered its start, monotonic time; absent if it did not. */
  public OptionalLong startOrderedAt() {
    return startOrderedAt;
  }

  /** Tells whether the executor ever said that it runs. */
  public boolean seenRunning() {
    return runningSince.isPresent();
  }

  /** Returns since when it is known to run, monotonic time; absent if that was never seen. */
  public OptionalLong runningSince() {
    return runningSince;
  }

  /** Counts an order of this stage and remembers when it was sent. */
  public void ordered(long nowNanos) {
    orders++;
    orderedAt = nowNanos;
  }

  /** Returns how many orders of this stage were sent. */
  public int orders() {
    return orders;
  }

  /** Returns when the last order was sent, monotonic time. */
  public long orderedAt() {
    return orderedAt;
  }

  /** Remembers that a start may still arrive, since one had no answer. */
  public void startBecameUncertain() {
    startUncertain = true;
  }

  /** Tells whether a start may still arrive at the executor. */
  public boolean startUncertain() {
    return startUncertain;
  }

  /** Remembers that the executor took the stop: from then on it starts this run no more. */
  public void stopTaken(long nowNanos) {
    stopTaken = true;
    stopTakenAt = nowNanos;
    startUncertain = false;
  }

  /**
   * Takes in that a poll lists it; a stop that was confirmed too long before is owed again.
   *
   * @param longestStopNanos how long a stop may take
   */
  public void stillListed(long pollSentAt, long longestStopNanos) {
    if (stopTaken && pollSentAt - stopTakenAt > longestStopNanos) {
      stopTaken = false;
    }
  }

  /** Tells whether the executor took the stop. */
  public boolean stopTaken() {
    return stopTaken;
  }

  /** Tells whether a poll sent at a time lists it if it is alive. */
  public boolean mustBeListed(long pollSentAt) {
    return switch (stage) {
      case PLACED, STARTING -> false;
      case INHERITED -> true;
      case RUNNING -> pollSentAt - stageSince > 0;
      case STOPPING -> stopTaken && pollSentAt - stopTakenAt > 0;
    };
  }

  /** Takes in the progress that the executor reports. */
  public void progressed(int newPercent, long nowNanos) {
    percent = newPercent;
    reportedAt = nowNanos;
  }

  /** Returns its speed up to its last report, in percent of its work a second. */
  public double speed() {
    return percent * NANOS_PER_SECOND / Math.max(1, reportedAt - stageSince);
  }

  /** Returns the share of the work that is done, 0 to 100. */
  public int percent() {
    return percent;
  }

  /** Remembers that it was slowed down, so that its progress tells nothing of its executor. */
  public void slowedDown() {
    paced = true;
  }

  /** Tells whether it was ever slowed down. */
  public boolean wasSlowedDown() {
    return paced;
  }

  /** Tells whether it runs and, for a task that lasts, is past its startup. */
  public boolean atWork() {
    return stage == Stage.RUNNING && percent == WHOLE_PERCENT;
  }

  /** Returns true the first time that it is called, so that a run counts once. */
  public boolean judgeOnce() {
    boolean first = !judged;
    judged = true;
    return first;
  }

  /**
   * Returns the time that the work still takes: by its own speed once it shows some progress, and
   * else by its estimate, which may be off by ten times.
   *
   * @return milliseconds
   */
  public long estimatedLeftMillis() {
    int left = WHOLE_PERCENT - percent;
    if (stage == Stage.RUNNING && percent >= TELLING_PERCENT && checkpoint.isEmpty()) {
      return Math.round(left / speed() * MILLIS_PER_SECOND);
    }
    return step.spec().estimateMillis() * left / WHOLE_PERCENT;
  }
}
