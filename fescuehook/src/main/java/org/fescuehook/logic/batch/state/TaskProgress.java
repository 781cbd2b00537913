package org.fescuehook.logic.batch.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.model.fleet.Incarnation;

/** The progress of one task. */
public final class TaskProgress {

  private final int index;
  private boolean done;
  private int failures;
  private int lastRun;
  private int moves;

  /** When a run last failed on each executor, monotonic time; this owner's knowledge only. */
  private Map<Incarnation, Long> failedAt = Map.of();

  private CrashRecord crashes = CrashRecord.NONE;
  private String checkpoint = "";
  private Optional<LiveRun> live = Optional.empty();

  TaskProgress(int index) {
    this.index = index;
  }

  /** Returns the index of the task in its step. */
  public int index() {
    return index;
  }

  /** Returns whether the task is done. */
  public boolean done() {
    return done;
  }

  /** Returns the number of its failed runs. */
  public int failures() {
    return failures;
  }

  /** Returns the record of the executors that were lost while they ran the task. */
  public CrashRecord crashes() {
    return crashes;
  }

  /** Returns the number of its newest run; 0 if there was none. */
  public int lastRun() {
    return lastRun;
  }

  /** Returns its newest checkpoint; an empty string if there is none. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns its live run; empty if there is none. */
  public Optional<LiveRun> live() {
    return live;
  }

  /** Returns whether the given run is its live run. */
  boolean isLive(LiveRun run) {
    return live.filter(run::equals).isPresent();
  }

  /** Returns whether a long-running task is past its startup, which its percentage reports. */
  public boolean atWork() {
    return live.filter(LiveRun::atWork).isPresent();
  }

  /** Returns whether the task is not done and has no live run. */
  public boolean waiting() {
    return !done && live.isEmpty();
  }

  /** Counts a move to another executor and returns the number of its moves. */
  int move() {
    moves++;
    return moves;
  }

  void finish() {
    done = true;
  }

  void fail() {
    failures++;
  }

  void failedOn(Incarnation executor, long nowNanos) {
    if (failedAt.isEmpty()) {
      failedAt = new HashMap<>();
    }
    failedAt.put(executor, nowNanos);
  }

  Set<Incarnation> failedOnSince(long earliestNanos) {
    if (failedAt.isEmpty()) {
      return Set.of();
    }
    Set<Incarnation> failedOn = new HashSet<>(failedAt.keySet());
    failedOn.removeIf(executor -> failedAt.get(executor) - earliestNanos < 0);
    return failedOn;
  }

  boolean failedElsewhere(Incarnation executor) {
    return failedAt.keySet().stream().anyMatch(other -> !other.equals(executor));
  }

  void crashed(CrashEvidence evidence, int run, Incarnation executor) {
    crashes = crashes.plus(evidence, run, executor);
  }

  /**
   * Changes the record of lost executors.
   *
   * @return whether it was changed
   */
  boolean updateCrashes(UnaryOperator<CrashRecord> change) {
    CrashRecord before = crashes;
    crashes = change.apply(before);
    return !crashes.equals(before);
  }

  /** Records that the start of its newest run was never sent. */
  void startNotSent() {
    crashes = crashes.withoutRun();
  }

  /** Returns whether it must not be started again, since it seems to crash its executors. */
  boolean mustGiveUp() {
    return !done && crashes.mustGiveUp(lastRun);
  }

  /** Returns whether it must not be started before it is known what became of an executor. */
  boolean mustWait() {
    return crashes.mustWait(lastRun);
  }

  void begin(LiveRun run) {
    live = Optional.of(run);
    lastRun = Math.max(lastRun, run.run().number());
  }

  void end() {
    live = Optional.empty();
  }

  void checkpointSaved(String newest) {
    if (!newest.isEmpty()) {
      checkpoint = newest;
    }
  }

  void restore(CrashRecord stored) {
    crashes = stored;
  }

  void restore(boolean wasDone, int failed, int newestRun, String saved) {
    done = wasDone;
    failures = failed;
    lastRun = newestRun;
    checkpoint = saved;
  }
}
