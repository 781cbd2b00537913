package org.fescuehook.logic.scheduling;

import org.fescuehook.logic.rule.RuleMatcher;
import org.fescuehook.logic.scheduling.Scheduler.WaitingJob;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.rule.Verdict;

/**
 * A waiting job with what its place in the order depends on.
 *
 * @param waiting the job
 * @param match the rule that counts
 * @param overdue whether it has waited for the declared bound
 * @param leftSeconds expected run time left
 * @param score higher is earlier among jobs of equal class and priority
 */
record Candidate(
    WaitingJob waiting,
    RuleMatcher.Match match,
    boolean overdue,
    double leftSeconds,
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
