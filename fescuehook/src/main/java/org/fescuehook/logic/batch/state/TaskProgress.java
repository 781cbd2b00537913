package org.fescuehook.logic.batch.state;

import java.util.Optional;
import org.fescuehook.logic.batch.executor.CrashEvidence;

/** How far one task is. */
public final class TaskProgress {

  private final int index;
  private boolean done;
  private int failures;
  private int lastRun;
  private int moves;
  private CrashRecord crashes = CrashRecord.NONE;
  private String checkpoint = "";
  private Optional<LiveRun> live = Optional.empty();

  TaskProgress(int index) {
    this.index = index;
  }

  /** Returns the number of the task in its step. */
  public int index() {
    return index;
  }

  /** Tells whether it is done. */
  public boolean done() {
    return done;
  }

  /** Returns its failed runs. */
  public int failures() {
    return failures;
  }

  /** Returns the executors that were lost under it. */
  public CrashRecord crashes() {
    return crashes;
  }

  /** Returns the number of its newest run; 0 if there was none. */
  public int lastRun() {
    return lastRun;
  }

  /** Returns its newest checkpoint; empty if there is none. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns its live run. */
  public Optional<LiveRun> live() {
    return live;
  }

  /** Tells whether a run is its live one. */
  boolean isLive(LiveRun run) {
    return live.filter(run::equals).isPresent();
  }

  /** Tells whether a lasting task is past its startup; it shows that by its percentage. */
  public boolean atWork() {
    return live.filter(LiveRun::atWork).isPresent();
  }

  /** Tells whether it needs a run. */
  public boolean waiting() {
    return !done && live.isEmpty();
  }

  /** Counts a move to another executor; returns how many there were. */
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

  void crashed(CrashEvidence evidence, int run) {
    crashes = crashes.plus(evidence, run);
  }

  /** Remembers that its newest run was not sent. */
  void unsent() {
    crashes = crashes.withoutRun();
  }

  /** Tells whether it must not be started again, as it seems to crash its executors. */
  boolean hopeless() {
    return !done && crashes.hopeless(lastRun);
  }

  void begin(LiveRun run) {
    live = Optional.of(run);
    lastRun = Math.max(lastRun, run.run().number());
  }

  void end() {
    live = Optional.empty();
  }

  void saved(String newest) {
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
