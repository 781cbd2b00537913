package org.fescuehook.logic.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Placement;

/**
 * A scheduling policy. Deterministic: the same views in the same order give the same plans. It has
 * no clock and no randomness, but may remember what it decided, so each decision thread has its
 * own.
 */
public interface Scheduler {

  /** Decides what to do now. */
  Plan plan(View view);

  /**
   * What the policy sees.
   *
   * @param nowMillis time of the decision, milliseconds since 1970
   * @param declarations declarations in force
   * @param waiting jobs without a live attempt, in the order of submission
   * @param running live attempts, whose resources are in use, in the order of their start
   * @param unusable workers that get nothing new: leaving, silent or quarantined
   * @param history what was learned from ended attempts
   */
  record View(
      long nowMillis,
      Declarations declarations,
      List<WaitingJob> waiting,
      List<RunningAttempt> running,
      Set<WorkerId> unusable,
      History history) {}

  /**
   * A waiting job.
   *
   * @param job the job
   * @param failures failed attempts so far
   * @param ranSeconds progress kept by checkpoints
   * @param avoid workers on which it failed
   */
  record WaitingJob(Job job, int failures, long ranSeconds, Set<WorkerId> avoid) {}

  /**
   * A live attempt.
   *
   * @param job the job
   * @param attempt the attempt
   * @param placement where it runs
   * @param borrowed whether it uses capacity beyond its organisation's guaranteed shapes
   * @param startedMillis when it was planned, milliseconds since 1970
   * @param keptSeconds progress kept by checkpoints of earlier attempts
   * @param stopping whether it has been told to stop
   */
  record RunningAttempt(
      Job job,
      AttemptId attempt,
      Placement placement,
      boolean borrowed,
      long startedMillis,
      long keptSeconds,
      boolean stopping) {}

  /**
   * What to do.
   *
   * @param starts attempts to start now, on resources that are free now
   * @param stops attempts to stop
   * @param reasons for each job that goes on waiting, why
   */
  record Plan(List<Start> starts, List<Stop> stops, Map<JobId, Explanation> reasons) {}

  /** Start an attempt of a job. */
  record Start(JobId job, Placement placement, int rule, boolean borrowed) {}

  /**
   * Stop an attempt.
   *
   * @param checkpointFirst whether a checkpoint is asked for before the stop
   * @param noticeMillis time for the checkpoint, after which the attempt is stopped all the same; 0
   *     without a checkpoint
   * @param beneficiary job for which it gives way
   */
  record Stop(
      AttemptId attempt,
      StopCause cause,
      boolean checkpointFirst,
      long noticeMillis,
      JobId beneficiary) {}

  /** Why an attempt is stopped. */
  enum StopCause {
    RECLAIMED,
    URGENT,
    MOVED
  }

  /**
   * Why a job waits.
   *
   * @param rule number of the rule that counted; 0 if none matched
   * @param missing what it lacks, in words
   * @param expectedStartMillis expected start, milliseconds since 1970; 0 if not known
   */
  record Explanation(int rule, String missing, long expectedStartMillis) {}
}
