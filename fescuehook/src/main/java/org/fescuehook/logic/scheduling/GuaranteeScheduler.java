package org.fescuehook.logic.scheduling;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.rule.RuleMatcher;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.rule.Verdict;

/**
 * The scheduling policy: guarantees first, then ordered jobs on what is left. Not for use by two
 * threads; keeps what follows from the declarations alone between plans.
 */
public final class GuaranteeScheduler implements Scheduler {

  private static final int[][] NO_HOMES = {};

  private final PolicyParts parts;
  private final JobOrder order;
  private Optional<Known> known = Optional.empty();

  /** Creates the policy with all its parts. */
  public GuaranteeScheduler() {
    this(PolicyParts.ALL);
  }

  /** Creates the policy with some of its parts. */
  public GuaranteeScheduler(PolicyParts parts) {
    this.parts = parts;
    this.order = new JobOrder(parts, new RuleMatcher());
  }

  /** What follows from declarations alone. */
  private record Known(
      Declarations declarations, FleetIndex index, GangPlacer placer, int[][] homes) {}

  @Override
  public Plan plan(View view) {
    Known known = known(view.declarations());
    RunTimeEstimator estimator = new RunTimeEstimator(view.history(), parts.correction());
    PlanState state = new PlanState(view, known.index(), estimator, known.homes());
    GuaranteeStep guarantees = new GuaranteeStep(state, known.placer(), parts);
    BorrowStep borrowing = new BorrowStep(state, known.placer(), parts);
    List<Candidate> candidates = order.order(state);
    List<Candidate> others =
        candidates.stream()
            .filter(c -> isAdmitted(c, state))
            .filter(c -> !guarantees.accept(c))
            .toList();
    others.forEach(borrowing::accept);
    return state.plan();
  }

  private static boolean isAdmitted(Candidate candidate, PlanState state) {
    if (candidate.match().verdict() instanceof Verdict.Refuse(String detail)) {
      state.explain(candidate, "refused by rule: " + detail, 0);
      return false;
    }
    if (state.isOverQuota(candidate.job())) {
      state.explain(candidate, "its organisation's quota is in use", 0);
      return false;
    }
    return true;
  }

  // The cache is by identity: comparing declarations of 810 workers would cost more than a plan.
  @SuppressWarnings("ReferenceEquality")
  private Known known(Declarations declarations) {
    if (known.isPresent() && known.get().declarations() == declarations) {
      return known.get();
    }
    FleetIndex index = new FleetIndex(declarations.fleet());
    Entitlements entitlements = new Entitlements(declarations.guarantees());
    GuaranteedHomes homes = GuaranteedHomes.find(index, entitlements, index.capacity(), NO_HOMES);
    Known fresh = new Known(declarations, index, new GangPlacer(index), homes.bySlot());
    known = Optional.of(fresh);
    return fresh;
  }
}
