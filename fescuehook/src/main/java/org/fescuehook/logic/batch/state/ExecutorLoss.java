package org.fescuehook.logic.batch.state;

import java.util.Optional;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;

/**
 * The loss of an executor that ran a task.
 *
 * @param run number of the run, increased by one for each later run whose start was never sent
 * @param evidence how strongly it suggests that the task crashed the executor
 * @param mayReturn the incarnation that was lost, if it may turn out that it has not crashed
 */
public record ExecutorLoss(int run, CrashEvidence evidence, Optional<Incarnation> mayReturn) {

  /** Returns a loss whose executor does not run any more. */
  static ExecutorLoss certain(int run, CrashEvidence evidence) {
    return new ExecutorLoss(run, evidence, Optional.empty());
  }

  /** Returns whether it is not known yet what became of the executor. */
  boolean unresolved() {
    return evidence == CrashEvidence.UNRESOLVED;
  }

  /** Returns whether the executor crashed soon after the start of the run. */
  boolean early() {
    return evidence == CrashEvidence.STRONG || evidence == CrashEvidence.STRONG_ALONE;
  }

  /** Returns whether an executor was lost that may turn out not to have crashed. */
  boolean mayReturn(ExecutorId executor) {
    return mayReturn.filter(lost -> lost.id().equals(executor)).isPresent();
  }

  /** Returns whether an incarnation was lost that may turn out not to have crashed. */
  boolean mayReturn(Incarnation incarnation) {
    return mayReturn.filter(lost -> !lost.differsFrom(incarnation)).isPresent();
  }

  /** Returns the loss of an executor that is taken for crashed, unless it returns after all. */
  ExecutorLoss presumedCrash() {
    return new ExecutorLoss(run, CrashEvidence.GONE, mayReturn);
  }

  /** Returns the loss of an executor of which it is known that it crashed, but not when. */
  ExecutorLoss crash() {
    return certain(run, CrashEvidence.DOUBTFUL);
  }

  /** Returns the loss after a later run whose start was never sent; such a run does not count. */
  ExecutorLoss withoutRun() {
    return new ExecutorLoss(run + 1, evidence, mayReturn);
  }
}
