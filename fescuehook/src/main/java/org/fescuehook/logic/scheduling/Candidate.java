package org.fescuehook.logic.scheduling;

import org.fescuehook.logic.rule.RuleMatcher;
import org.fescuehook.logic.scheduling.Scheduler.WaitingJob;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.rule.Verdict;

/**
 * A waiting job with the values that determine its position in the order.
 *
 * @param waiting the job
 * @param match the declared rule that applies to the job, with its verdict
 * @param overdue whether its wait is near or beyond the declared maximum
 * @param remainingSeconds expected remaining run time
 * @param score rank among jobs of equal urgency, overdue state and priority; higher scores come
 *     first
 */
record Candidate(
    WaitingJob waiting,
    RuleMatcher.Match match,
    boolean overdue,
    double remainingSeconds,
    double score) {

  Job job() {
    return waiting.job();
  }

  int priority() {
    return match.verdict() instanceof Verdict.Admit admit ? admit.priority() : 0;
  }

  boolean mayBorrow() {
    return match.verdict() instanceof Verdict.Admit admit && admit.mayBorrow();
  }
}
