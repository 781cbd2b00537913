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
 * The default scheduling policy: serves the organisations' guarantees first, then the remaining
 * jobs in their order on the capacity that is left. Not thread-safe. Between plans it caches what
 * is derived from the declarations and remembers which attempts it stopped for urgent jobs; a new
 * instance does not know these stops, so it may stop more attempts than necessary.
 */
public final class GuaranteeScheduler implements Scheduler {

  private final PolicyFeatures features;
  private final Set<AttemptId> stoppedForUrgentJobs = new HashSet<>();
  private Optional<DeclarationCache> cache = Optional.empty();

  /** Creates the policy with all its features. */
  public GuaranteeScheduler() {
    this(PolicyFeatures.ALL);
  }

  /** Creates the policy with the given features. */
  public GuaranteeScheduler(PolicyFeatures features) {
    this.features = features;
  }

  /** Data derived only from the declarations and the set of unusable workers. */
  private record DeclarationCache(
      Declarations declarations,
      Set<WorkerId> unusable,
      FleetIndex index,
      GangPlacer placer,
      ReservedPlacements declaredPlacements,
      ReservedPlacements placements,
      boolean[] isUnusable) {}

  @Override
  public Plan plan(View view) {
    DeclarationCache cache = currentCache(view);
    RunTimeEstimator estimator = new RunTimeEstimator(view.history(), features.correction());
    removeEndedAttempts(view);
    PlanState state =
        new PlanState(
            view,
            cache.index(),
            estimator,
            cache.placements(),
            cache.isUnusable(),
            stoppedForUrgentJobs);
    QuotaEnforcer quotaEnforcer = new QuotaEnforcer(state);
    GuaranteedJobPlanner guaranteedPlanner =
        new GuaranteedJobPlanner(state, cache.placer(), features, quotaEnforcer);
    JobOrder order = new JobOrder(features, new RuleMatcher());
    List<Candidate> admitted =
        order.order(state).stream().filter(c -> isAdmitted(c, state)).toList();
    BorrowingJobPlanner borrowingPlanner =
        new BorrowingJobPlanner(
            state, cache.placer(), features, order, guaranteedPlanner, quotaEnforcer);
    guaranteedPlanner.plan(admitted).forEach(borrowingPlanner::plan);
    Plan plan = state.plan();
    recordUrgentStops(plan);
    return plan;
  }

  private void removeEndedAttempts(View view) {
    if (stoppedForUrgentJobs.isEmpty()) {
      return;
    }
    Set<AttemptId> live = new HashSet<>();
    view.running().forEach(r -> live.add(r.attempt()));
    stoppedForUrgentJobs.retainAll(live);
  }

  private void recordUrgentStops(Plan plan) {
    for (Stop stop : plan.stops()) {
      if (stop.cause() == StopCause.URGENT) {
        stoppedForUrgentJobs.add(stop.attempt());
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

  // Compares declarations by identity: comparing 810 declared workers by value would take longer
  // than computing a plan.
  @SuppressWarnings("ReferenceEquality")
  private DeclarationCache currentCache(View view) {
    if (cache.isEmpty() || cache.get().declarations() != view.declarations()) {
      FleetIndex index = new FleetIndex(view.declarations().fleet());
      ReservedPlacements placements =
          ReservedPlacements.find(index, view.declarations().guarantees());
      boolean[] none = new boolean[index.workerCount()];
      Declarations declarations = view.declarations();
      GangPlacer placer = new GangPlacer(index);
      cache =
          Optional.of(
              new DeclarationCache(
                  declarations, Set.of(), index, placer, placements, placements, none));
    }
    if (!cache.get().unusable().equals(view.unusable())) {
      cache = Optional.of(withUnusable(cache.get(), Set.copyOf(view.unusable())));
    }
    return cache.get();
  }

  private static DeclarationCache withUnusable(DeclarationCache before, Set<WorkerId> unusable) {
    FleetIndex index = before.index();
    boolean[] isUnusable = new boolean[index.workerCount()];
    for (WorkerId id : unusable) {
      int worker = index.number(id);
      if (worker >= 0) {
        isUnusable[worker] = true;
      }
    }
    ReservedPlacements placements = before.declaredPlacements().without(index, isUnusable);
    return new DeclarationCache(
        before.declarations(),
        unusable,
        index,
        before.placer(),
        before.declaredPlacements(),
        placements,
        isUnusable);
  }
}
