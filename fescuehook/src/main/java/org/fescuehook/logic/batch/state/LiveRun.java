package org.fescuehook.logic.batch.state;

import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;

/** A run that may be alive. It holds capacity of its executor until it is known to have ended. */
public final class LiveRun {

  private static final int WHOLE_PERCENT = 100;

  /** Progress from which on the speed of a run is known to within a third. */
  private static final int MIN_PERCENT_FOR_SPEED = 3;

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
  private boolean mayHaveBegun;
  private final StartExclusion startExclusion = new StartExclusion();
  private long stageSince;
  private long orderedAt;
  private int orders;
  private int percent;
  private long reportedAt;
  private int percentWhenRunning;
  private long percentChangedAt;
  private OptionalLong endTrustedSince = OptionalLong.empty();
  private boolean evaluated;
  private boolean throttled;
  private Optional<WasteCause> wasteCause = Optional.empty();
  private String lastSaved = "";
  private OptionalLong savedAt = OptionalLong.empty();
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
    this.percentChangedAt = nowNanos;
  }

  /**
   * Creates a run that was just placed.
   *
   * @param checkpoint checkpoint that it resumes from; empty to begin anew
   * @param ticket ticket of the advice service for the executor; empty where none is needed
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

  /** Creates a run that a former owner placed. */
  public static LiveRun inherited(
      TaskRun run, Incarnation incarnation, StepProgress step, long nowNanos) {
    return new LiveRun(run, incarnation, step, "", Optional.empty(), Stage.INHERITED, nowNanos);
  }

  /** The stage of a run as the owner knows it. */
  public enum Stage {
    /** Placed on an executor; the placement is being stored and no start was sent. */
    PLACED,
    /** A start was sent and has not been answered. */
    STARTING,
    /** The executor confirmed that it runs. */
    RUNNING,
    /** The owner decided to stop it; it may still run. */
    STOPPING,
    /** Taken over from a former owner; its executor has not been polled yet. */
    INHERITED
  }

  /** Returns the name of the run. */
  public TaskRun run() {
    return run;
  }

  /** Returns the id of the executor. */
  public ExecutorId executor() {
    return incarnation.id();
  }

  /** Sets the incarnation of the executor that was found to have started it. */
  public void foundOn(Incarnation found) {
    incarnation = found;
  }

  /** Returns the incarnation of the executor that it was placed on, or that started it. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the step of its task. */
  public StepProgress step() {
    return step;
  }

  /** Returns its task. */
  TaskProgress task() {
    return step.tasks().get(run.task().index());
  }

  /** Returns the checkpoint that it resumes from; each repeated start carries the same one. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns the ticket without which the executor rejects its start; empty if none is needed. */
  public Optional<String> ticket() {
    return ticket;
  }

  /** Returns whether its task runs until its job is cancelled. */
  boolean longRunning() {
    return step.spec().longRunning().isPresent();
  }

  /** Returns the resources that it holds on the executor. */
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

  /** Enters a stage; the count of the orders sent starts again. */
  public void enter(Stage next, long nowNanos) {
    stage = next;
    stageSince = nowNanos;
    orders = 0;
    switch (next) {
      case STARTING -> startOrderedAt = OptionalLong.of(nowNanos);
      case RUNNING -> {
        runningSince = OptionalLong.of(nowNanos);
        // Not 0 if the run is first known from a report, since its work began before that.
        percentWhenRunning = percent;
        percentChangedAt = nowNanos;
      }
      case PLACED, STOPPING, INHERITED -> {}
    }
  }

  /** Records that no start of it has reached the executor. */
  public void startNeverArrived() {
    startOrderedAt = OptionalLong.empty();
  }

  /** Returns whether a former owner placed it. */
  public boolean inherited() {
    return inherited;
  }

  /** Returns whether its task is suspected to crash its executors, as earlier ones were lost. */
  public boolean mayCrash() {
    return task().crashes().mayCrash();
  }

  /** Returns when this owner first sent its start, monotonic time; empty if it did not. */
  public OptionalLong startOrderedAt() {
    return startOrderedAt;
  }

  /** Returns whether the executor has ever confirmed that it runs. */
  public boolean seenRunning() {
    return runningSince.isPresent();
  }

  /** Returns when it was first known to run, monotonic time; empty if that is not known. */
  public OptionalLong runningSince() {
    return runningSince;
  }

  /** Records that a start was sent, which expires at a time on the clock of the executor. */
  public void startSent(long expiresMillis) {
    startExclusion.startSent(expiresMillis);
  }

  /** Counts an order sent in this stage and records its time. */
  public void ordered(long nowNanos) {
    orders++;
    orderedAt = nowNanos;
  }

  /** Returns the number of orders sent in this stage. */
  public int orders() {
    return orders;
  }

  /** Returns when the last order was sent, monotonic time. */
  public long orderedAt() {
    return orderedAt;
  }

  /** Records that a start was not answered and may still arrive at the executor. */
  public void startBecameUncertain() {
    startUncertain = true;
    mayHaveBegun = true;
  }

  /**
   * Returns whether a start of it may have been carried out. An acknowledged stop does not rule
   * that out, unlike that it is carried out later.
   */
  public boolean mayHaveBegun() {
    return mayHaveBegun || seenRunning();
  }

  /** Returns whether a start may still arrive at the executor. */
  public boolean startUncertain() {
    return startUncertain;
  }

  /** Records that the executor acknowledged the stop: from now on it will not start this run. */
  public void stopAcknowledged(long nowNanos) {
    startExclusion.acknowledgeStop(nowNanos);
    startUncertain = false;
  }

  /**
   * Records that an answer to a poll lists it as live. If its stop was acknowledged too long before
   * the poll, the stop has failed and must be sent again.
   *
   * @param longestStopNanos longest time that a stop may take
   */
  public void stillListed(long pollSentAt, long longestStopNanos) {
    startExclusion.stillListed(pollSentAt, longestStopNanos);
  }

  /** Returns whether the executor acknowledged the stop. */
  public boolean stopAcknowledged() {
    return startExclusion.stopAcknowledged();
  }

  /**
   * Returns whether the answer to a poll must list it if it is alive or may still begin.
   *
   * @param pollSentAt monotonic time
   * @param clockMillis reading of the executor's clock before the poll; empty if none is known
   */
  public boolean mustBeListed(long pollSentAt, OptionalLong clockMillis) {
    return switch (stage) {
      case PLACED, STARTING -> false;
      case INHERITED -> true;
      case RUNNING -> pollSentAt - stageSince > 0;
      case STOPPING -> startExclusion.effectiveAt(pollSentAt, clockMillis);
    };
  }

  /** Records the progress that the executor reports. */
  public void progressed(int newPercent, long nowNanos) {
    if (newPercent != percent) {
      percentChangedAt = nowNanos;
    }
    percent = newPercent;
    reportedAt = nowNanos;
  }

  /** Returns the progress that this owner has seen it make, in percent of its work. */
  public int seenPercent() {
    return percent - percentWhenRunning;
  }

  /** Returns when its progress last changed, monotonic time. */
  public long percentChangedAt() {
    return percentChangedAt;
  }

  /**
   * Returns since when it is expected to end by itself soon; the first call sets that time.
   *
   * @param nowNanos monotonic time
   */
  public long trustEnd(long nowNanos) {
    if (endTrustedSince.isEmpty()) {
      endTrustedSince = OptionalLong.of(nowNanos);
    }
    return endTrustedSince.getAsLong();
  }

  /** Records the newest checkpoint that its executor reports. */
  public void saved(String newest, long nowNanos) {
    if (!newest.isEmpty() && !newest.equals(lastSaved)) {
      lastSaved = newest;
      savedAt = OptionalLong.of(nowNanos);
    }
  }

  /** Returns since when its work is not saved, monotonic time; empty if it is not known to run. */
  OptionalLong unsavedSince() {
    return savedAt.isPresent() ? savedAt : runningSince;
  }

  /** Records why its work is about to be wasted; the first cause counts. */
  public void wastedBy(WasteCause cause) {
    wasteCause = wasteCause.or(() -> Optional.of(cause));
  }

  /** Returns why its work is wasted if it is stopped; empty if that is not known. */
  Optional<WasteCause> wasteCause() {
    return wasteCause;
  }

  /** Returns when its progress was last reported, or when it was placed, monotonic time. */
  public long reportedAt() {
    return reportedAt;
  }

  /** Returns its average speed up to the last report, in percent of its work per second. */
  public double speed() {
    return percent * NANOS_PER_SECOND / Math.max(1, reportedAt - stageSince);
  }

  /** Returns how much of its work is done, 0 to 100. */
  public int percent() {
    return percent;
  }

  /** Records that it was throttled, so that its speed says nothing about its executor. */
  public void markThrottled() {
    throttled = true;
  }

  /** Returns whether it was ever throttled. */
  public boolean wasThrottled() {
    return throttled;
  }

  /**
   * Returns whether it runs and reports 100 percent; a long-running task reports that after its
   * startup.
   */
  public boolean atWork() {
    return stage == Stage.RUNNING && percent == WHOLE_PERCENT;
  }

  /** Marks it as evaluated; returns true at the first call only, so that it is evaluated once. */
  public boolean markEvaluated() {
    boolean first = !evaluated;
    evaluated = true;
    return first;
  }

  /**
   * Returns the estimated time until it is done, from its own speed once it has made some progress,
   * and otherwise from the caller's estimate, which may be wrong by a factor of ten.
   *
   * @return milliseconds
   */
  public long estimatedLeftMillis() {
    int left = WHOLE_PERCENT - percent;
    if (stage == Stage.RUNNING && percent >= MIN_PERCENT_FOR_SPEED && checkpoint.isEmpty()) {
      return Math.round(left / speed() * MILLIS_PER_SECOND);
    }
    return step.spec().estimateMillis() * left / WHOLE_PERCENT;
  }
}
