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
 * A scheduling policy. Deterministic: the same views in the same order yield the same plans. An
 * implementation uses neither a clock nor randomness. It may keep state from earlier plans, so each
 * decision thread needs its own instance.
 */
public interface Scheduler {

  /** Returns the attempts to start and to stop now, given the current state. */
  Plan plan(View view);

  /**
   * State on which the policy decides.
   *
   * @param nowMillis time of the decision, milliseconds since 1970
   * @param declarations declarations in effect
   * @param waiting jobs without a live attempt, in the order of submission
   * @param running live attempts, which occupy their resources, in the order of their start
   * @param unusable workers that get no new attempts because they are leaving, silent or
   *     quarantined
   * @param history statistics gathered from ended attempts
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
   * @param failures number of failed attempts so far
   * @param ranSeconds run time saved in the job's last checkpoint
   * @param avoid workers on which an attempt of it failed
   */
  record WaitingJob(Job job, int failures, long ranSeconds, Set<WorkerId> avoid) {}

  /**
   * A live attempt.
   *
   * @param job the job
   * @param attempt the attempt
   * @param placement where it runs
   * @param borrowed whether it runs on capacity outside its organisation's guarantees
   * @param startedMillis when its start was planned, milliseconds since 1970
   * @param keptSeconds run time of earlier attempts that checkpoints saved
   * @param stopping whether it has already been ordered to stop
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
   * The decisions of one run of the policy.
   *
   * @param starts attempts to start now, on resources that are already free
   * @param stops attempts to stop
   * @param reasons explanation for each job that continues to wait
   */
  record Plan(List<Start> starts, List<Stop> stops, Map<JobId, Explanation> reasons) {}

  /**
   * Starts an attempt of a job.
   *
   * @param rule number of the declared rule that applies to the job; 0 if none matches
   * @param borrowed whether it runs on capacity outside its organisation's guarantees
   */
  record Start(JobId job, Placement placement, int rule, boolean borrowed) {}

  /**
   * Stops an attempt.
   *
   * @param checkpointFirst whether the attempt is asked for a checkpoint before it is stopped
   * @param noticeMillis time allowed for the checkpoint, after which the attempt is stopped even
   *     without one; 0 if no checkpoint is requested
   * @param beneficiary job that needs the attempt's resources
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
   * @param rule number of the declared rule that applies to the job; 0 if none matches
   * @param missing description of what prevents its start
   * @param expectedStartMillis expected start, milliseconds since 1970; 0 if unknown
   */
  record Explanation(int rule, String missing, long expectedStartMillis) {}
}
