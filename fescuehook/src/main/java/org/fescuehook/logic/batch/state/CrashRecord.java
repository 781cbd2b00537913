package org.fescuehook.logic.batch.state;

import org.fescuehook.logic.batch.executor.CrashEvidence;

/**
 * Executors that were lost under a task, by how much each loss speaks against the task.
 *
 * @param early executors that crashed soon after they had started it
 * @param other executors that were lost with it in other ways
 * @param alone whether nothing else ran on the executor that crashed early last
 */
public record CrashRecord(int early, int other, boolean alone) {

  /** No executor was lost. */
  public static final CrashRecord NONE = new CrashRecord(0, 0, false);

  /** Early crashes after which a task is given up if it was alone in the last one. */
  private static final int MOST_EARLY_ALONE = 2;

  /** Early crashes after which a task is given up whatever ran beside it. */
  private static final int MOST_EARLY = 3;

  /** Losses of any kind after which a task is given up. */
  private static final int MOST_LOSSES = 5;

  /** Losses from which on a task counts as a suspect though none of them was early. */
  private static final int SUSPECT_LOSSES = 2;

  /** Returns the record with one more loss. */
  public CrashRecord plus(CrashEvidence evidence) {
    return switch (evidence) {
      case NONE -> this;
      case WEAK -> new CrashRecord(early, other + 1, alone);
      case STRONG -> new CrashRecord(early + 1, other, false);
      case STRONG_ALONE -> new CrashRecord(early + 1, other, true);
    };
  }

  /** Tells whether the task would crash the next executor too. */
  public boolean hopeless() {
    return early >= MOST_EARLY
        || (early >= MOST_EARLY_ALONE && alone)
        || early + other >= MOST_LOSSES;
  }

  /** Tells whether the task may crash its next executor. */
  public boolean suspect() {
    return early > 0 || other >= SUSPECT_LOSSES;
  }
}
