package org.fescuehook.logic.batch.statistics;

import java.util.OptionalLong;

/**
 * What is known about the success of runs on an executor.
 *
 * @param faultProbability probability that the executor fails the runs that it starts
 * @param doubted whether evidence against this very executor is the reason for that probability
 * @param doubtedSince time of the latest evidence against it, monotonic; 0 if there is none
 * @param faultSeenAt when the fault that the latest evidence shows was present, monotonic; empty if
 *     there is no evidence
 * @param provenSince when the newest run that ended well there was started, monotonic; empty if
 *     none is known
 */
public record ExecutorStanding(
    double faultProbability,
    boolean doubted,
    long doubtedSince,
    OptionalLong faultSeenAt,
    OptionalLong provenSince) {

  /** Nothing is known about the executor. */
  public static final ExecutorStanding UNKNOWN =
      new ExecutorStanding(0, false, 0, OptionalLong.empty(), OptionalLong.empty());

  /**
   * Fault probability up to which an executor counts as usable for gangs and for last attempts. One
   * run in twenty fails for reasons of its own, so that a lower bound would gain little.
   */
  public static final double USABLE = 0.05;

  /**
   * Fault probability up to which an executor is used by work that has no time left to wait. A gang
   * with one such member still succeeds in four of five cases. A single failed run gives 0.25; the
   * bound is lower, so that its decay does not make an executor tolerable within a second.
   */
  public static final double TOLERABLE = 0.21;

  /**
   * Number of tasks in parallel with which a doubted executor of tolerable probability is tried.
   */
  private static final int TRIALS_IF_TOLERABLE = 4;

  /** Returns the same standing with another fault probability. */
  ExecutorStanding withFaultProbability(double probability) {
    return new ExecutorStanding(probability, doubted, doubtedSince, faultSeenAt, provenSince);
  }

  /** Returns how many tasks may be on a doubted executor that started after the doubt arose. */
  public int maxTrials() {
    if (!doubted) {
      return Integer.MAX_VALUE;
    }
    return faultProbability > TOLERABLE ? 1 : TRIALS_IF_TOLERABLE;
  }

  /** Tells whether there is no evidence of a fault at or after a time. */
  public boolean soundSince(long nanos) {
    return faultSeenAt.isEmpty() || faultSeenAt.getAsLong() - nanos < 0;
  }

  /**
   * Tells whether a run is known to have ended well there that was started at or after a time, or
   * at any time if that is empty.
   */
  public boolean provenSince(OptionalLong earliest) {
    return provenSince.isPresent()
        && (earliest.isEmpty() || provenSince.getAsLong() - earliest.getAsLong() >= 0);
  }
}
