package org.fescuehook.logic.control.request;

import java.util.Optional;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.rule.RuleMatcher;
import org.fescuehook.logic.scheduling.FeasibilityChecker;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.model.rule.Verdict;

/** Decides at submission whether a job is accepted. */
final class AdmissionChecker {
  private final FeasibilityChecker feasibility = new FeasibilityChecker();
  private final RuleMatcher rules = new RuleMatcher();

  /** Result of the check. */
  sealed interface Admission {

    /** The job is accepted; {@code rule} is the number of the rule that decided. */
    record Admitted(int rule) implements Admission {}

    /** The job is refused. */
    record Denied(RefusalReason reason, String detail) implements Admission {}
  }

  Admission check(Job job, Declarations declarations, ControlState state, long wallMillis) {
    boolean declared =
        declarations.organisations().stream()
            .anyMatch(organisation -> organisation.id().equals(job.organisation()));
    if (!declared) {
      return new Admission.Denied(
          RefusalReason.UNKNOWN_ORGANISATION, "no organisation " + job.organisation());
    }
    Optional<String> never =
        feasibility.infeasibilityReason(declarations, job.organisation(), job.shape());
    if (never.isPresent()) {
      return new Admission.Denied(RefusalReason.NEVER_RUNNABLE, never.get());
    }
    RuleMatcher.Match match =
        rules.match(declarations.rules(), job, wallMillis, load(declarations, state));
    return switch (match.verdict()) {
      case Verdict.Admit admit -> new Admission.Admitted(match.rule());
      case Verdict.Refuse(String detail) ->
          new Admission.Denied(
              RefusalReason.REFUSED_BY_RULE, "rule " + match.rule() + ": " + detail);
    };
  }

  private static double load(Declarations declarations, ControlState state) {
    long all = 0;
    for (Worker worker : declarations.fleet().workers()) {
      all += worker.capacity().accelerators();
    }
    long used = 0;
    for (JobState job : state.jobs().live()) {
      used += job.job().shape().accelerators();
    }
    return all == 0 ? 1 : Math.min(1, (double) used / all);
  }
}
