package org.fescuehook.logic.batch.state;

import org.fescuehook.logic.batch.executor.CrashEvidence;

/**
 * Counts the executors that were lost while they ran a task, by the strength of the evidence that
 * the task crashed them.
 *
 * @param early executors that crashed soon after they had started the task
 * @param late executors that crashed after the task had run for a while
 * @param other lost executors that may not have crashed, or may not have run the task
 * @param alone whether no other run was on the executor of the latest early crash
 * @param thirdLossRun number of the run with which the third executor was lost, increased by one
 *     for each later run whose start was never sent; 0 if fewer than three executors were lost
 */
public record CrashRecord(int early, int late, int other, boolean alone, int thirdLossRun) {

  /** The record of a task under which no executor was lost. */
  public static final CrashRecord NONE = new CrashRecord(0, 0, 0, false, 0);

  /** Number of early crashes after which a task is given up if it ran alone in the latest one. */
  private static final int EARLY_CRASH_LIMIT_ALONE = 2;

  /** Number of early crashes after which a task is given up in any case. */
  private static final int EARLY_CRASH_LIMIT = 3;

  /** Number of lost executors after which the further runs of a task are limited. */
  private static final int LOSSES_BEFORE_RUN_LIMIT = 3;

  /**
   * Runs allowed after that loss, however they end, before a task is given up; the users' limit is
   * one more.
   */
  private static final int RUN_LIMIT = 2;

  /** Number of lost executors that must have crashed for certain before the runs are limited. */
  private static final int MIN_CERTAIN_CRASHES = 2;

  /** Number of lost executors from which on a task is suspect although no crash was early. */
  private static final int SUSPICIOUS_LOSSES = 2;

  /**
   * Returns the record with one more lost executor.
   *
   * @param run number of the run that was on the executor
   */
  public CrashRecord plus(CrashEvidence evidence, int run) {
    int third = losses() + 1 == LOSSES_BEFORE_RUN_LIMIT ? run : thirdLossRun;
    return switch (evidence) {
      case NONE -> this;
      case DOUBTFUL -> new CrashRecord(early, late, other + 1, alone, third);
      case WEAK -> new CrashRecord(early, late + 1, other, alone, third);
      case STRONG -> new CrashRecord(early + 1, late, other, false, third);
      case STRONG_ALONE -> new CrashRecord(early + 1, late, other, true, third);
    };
  }

  /** Returns the record after a run whose start was never sent; such a run does not count. */
  public CrashRecord withoutRun() {
    return thirdLossRun == 0 ? this : new CrashRecord(early, late, other, alone, thirdLossRun + 1);
  }

  private int losses() {
    return early + late + other;
  }

  /**
   * Returns whether the task must not be started again.
   *
   * @param lastRun number of its newest run
   */
  public boolean mustGiveUp(int lastRun) {
    boolean runLimitReached =
        thirdLossRun > 0
            && lastRun - thirdLossRun >= RUN_LIMIT
            && early + late >= MIN_CERTAIN_CRASHES;
    return runLimitReached
        || early >= EARLY_CRASH_LIMIT
        || (early >= EARLY_CRASH_LIMIT_ALONE && alone)
        || losses() >= LOSSES_BEFORE_RUN_LIMIT + RUN_LIMIT;
  }

  /**
   * Returns whether the evidence against the task is the least that makes it suspect, which many
   * tasks share that were lost together.
   */
  public boolean slight() {
    return early <= 1 && losses() <= SUSPICIOUS_LOSSES;
  }

  /** Returns whether the task is suspected to crash its executors. */
  public boolean mayCrash() {
    return early > 0 || losses() >= SUSPICIOUS_LOSSES;
  }
}
