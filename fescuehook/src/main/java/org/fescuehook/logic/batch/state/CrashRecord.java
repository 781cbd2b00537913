package org.fescuehook.logic.batch.state;

import org.fescuehook.logic.batch.executor.CrashEvidence;

/**
 * Executors that were lost under a task, by how much each loss speaks against the task.
 *
 * @param early executors that crashed soon after they had started it
 * @param late executors that crashed after it had run for a while
 * @param other executors that may not have crashed, or may not have run it
 * @param alone whether nothing else ran on the executor that crashed early last
 * @param thirdLossRun number of the run with which the third executor was lost, and one more for
 *     each run since that was not sent; 0 if fewer were lost
 */
public record CrashRecord(int early, int late, int other, boolean alone, int thirdLossRun) {

  /** No executor was lost. */
  public static final CrashRecord NONE = new CrashRecord(0, 0, 0, false, 0);

  /** Early crashes after which a task is given up if it was alone in the last one. */
  private static final int MOST_EARLY_ALONE = 2;

  /** Early crashes after which a task is given up whatever ran beside it. */
  private static final int MOST_EARLY = 3;

  /** Losses from which on the runs of a task are counted, whatever becomes of them. */
  private static final int COUNTED_LOSSES = 3;

  /** Runs after that loss with which a task is given up; the users' bound is one more. */
  private static final int MOST_COUNTED_RUNS = 2;

  /** Executors that are known to have crashed under a task before its runs are counted. */
  private static final int LEAST_CRASHES = 2;

  /** Losses from which on a task may be their cause though none of them was early. */
  private static final int SUSPICIOUS_LOSSES = 2;

  /**
   * Returns the record with one more loss.
   *
   * @param run number of the run that was lost
   */
  public CrashRecord plus(CrashEvidence evidence, int run) {
    int third = losses() + 1 == COUNTED_LOSSES ? run : thirdLossRun;
    return switch (evidence) {
      case NONE -> this;
      case DOUBTFUL -> new CrashRecord(early, late, other + 1, alone, third);
      case WEAK -> new CrashRecord(early, late + 1, other, alone, third);
      case STRONG -> new CrashRecord(early + 1, late, other, false, third);
      case STRONG_ALONE -> new CrashRecord(early + 1, late, other, true, third);
    };
  }

  /** Returns the record after a run that was not sent, and so is none of those that are counted. */
  public CrashRecord withoutRun() {
    return thirdLossRun == 0 ? this : new CrashRecord(early, late, other, alone, thirdLossRun + 1);
  }

  private int losses() {
    return early + late + other;
  }

  /**
   * Tells whether the task must not be started again.
   *
   * @param lastRun number of its newest run
   */
  public boolean hopeless(int lastRun) {
    boolean counted =
        thirdLossRun > 0
            && lastRun - thirdLossRun >= MOST_COUNTED_RUNS
            && early + late >= LEAST_CRASHES;
    return counted
        || early >= MOST_EARLY
        || (early >= MOST_EARLY_ALONE && alone)
        || losses() >= COUNTED_LOSSES + MOST_COUNTED_RUNS;
  }

  /** Tells whether the task may crash its next executor. */
  public boolean mayCrash() {
    return early > 0 || losses() >= SUSPICIOUS_LOSSES;
  }
}
