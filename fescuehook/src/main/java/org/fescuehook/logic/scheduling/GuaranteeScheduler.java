package org.fescuehook.logic.scheduling;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.rule.RuleMatcher;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.rule.Verdict;

/**
 * The scheduling policy: guarantees first, then ordered jobs on what is left. Not for use by two
 * threads. Between plans it keeps what follows from the declarations alone, and which attempts it
 * stopped at once for urgent jobs; a fresh one that does not know these may stop more than needed.
 */
public final class GuaranteeScheduler implements Scheduler {

  private final PolicyFeatures parts;
  private final Set<AttemptId> stoppedAtOnce = new HashSet<>();
  private Optional<Known> known = Optional.empty();

  /** Creates the policy with all its parts. */
  public GuaranteeScheduler() {
    this(PolicyFeatures.ALL);
  }

  /** Creates the policy with some of its parts. */
  public GuaranteeScheduler(PolicyFeatures parts) {
    this.parts = parts;
  }

  /** What follows from declarations and unusable workers alone. */
  private record Known(
      Declarations declarations,
      Set<WorkerId> unusable,
      FleetIndex index,
      GangPlacer placer,
      GuaranteedHomes declaredHomes,
      GuaranteedHomes homes,
      boolean[] isUnusable) {}

  @Override
  public Plan plan(View view) {
    Known known = known(view);
    RunTimeEstimator estimator = new RunTimeEstimator(view.history(), parts.correction());
    forgetEnded(view);
    PlanState state =
        new PlanState(
            view, known.index(), estimator, known.homes(), known.isUnusable(), stoppedAtOnce);
    QuotaStep quotas = new QuotaStep(state);
    GuaranteeStep guarantees = new GuaranteeStep(state, known.placer(), parts, quotas);
    JobOrder order = new JobOrder(parts, new RuleMatcher());
    List<Candidate> admitted =
        order.order(state).stream().filter(c -> isAdmitted(c, state)).toList();
    BorrowStep borrowing = new BorrowStep(state, known.placer(), parts, order, guarantees, quotas);
    guarantees.accept(admitted).forEach(borrowing::accept);
    Plan plan = state.plan();
    remember(plan);
    return plan;
  }

  private void forgetEnded(View view) {
    if (stoppedAtOnce.isEmpty()) {
      return;
    }
    Set<AttemptId> live = new HashSet<>();
    view.running().forEach(r -> live.add(r.attempt()));
    stoppedAtOnce.retainAll(live);
  }

  private void remember(Plan plan) {
    for (Stop stop : plan.stops()) {
      if (stop.cause() == StopCause.URGENT) {
        stoppedAtOnce.add(stop.attempt());
      }
    }
  }

  private static boolean isAdmitted(Candidate candidate, PlanState state) {
    if (candidate.match().verdict() instanceof Verdict.Refuse(String detail)) {
      state.explain(candidate, "refused by rule: " + detail, 0);
      return false;
    }
    return true;
  }

  // The cache is by identity: comparing declarations of 810 workers would cost more than a plan.
  @SuppressWarnings("ReferenceEquality")
  private Known known(View view) {
    if (known.isEmpty() || known.get().declarations() != view.declarations()) {
      FleetIndex index = new FleetIndex(view.declarations().fleet());
      GuaranteedHomes homes = GuaranteedHomes.find(index, view.declarations().guarantees());
      boolean[] none = new boolean[index.workerCount()];
      Declarations declarations = view.declarations();
      GangPlacer placer = new GangPlacer(index);
      known = Optional.of(new Known(declarations, Set.of(), index, placer, homes, homes, none));
    }
    if (!known.get().unusable().equals(view.unusable())) {
      known = Optional.of(withUnusable(known.get(), Set.copyOf(view.unusable())));
    }
    return known.get();
  }

  private static Known withUnusable(Known before, Set<WorkerId> unusable) {
    FleetIndex index = before.index();
    boolean[] isUnusable = new boolean[index.workerCount()];
    for (WorkerId id : unusable) {
      int worker = index.number(id);
      if (worker >= 0) {
        isUnusable[worker] = true;
      }
    }
    GuaranteedHomes homes = before.declaredHomes().without(index, isUnusable);
    return new Known(
        before.declarations(),
        unusable,
        index,
        before.placer(),
        before.declaredHomes(),
        homes,
        isUnusable);
  }
}
