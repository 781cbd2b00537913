package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.logic.rule.RuleMatcher;
import org.fescuehook.logic.scheduling.Scheduler.View;
import org.fescuehook.logic.scheduling.Scheduler.WaitingJob;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * Orders waiting jobs: urgent jobs first, then overdue jobs, then by the priority that their rules
 * give. Among equals, jobs with the largest slowdown so far come first; the slowdown is divided by
 * the overuse of the job's organisation.
 */
final class JobOrder {

  private static final Comparator<Candidate> ORDER =
      Comparator.comparing((Candidate c) -> !c.job().urgent())
          .thenComparing(c -> !c.overdue())
          .thenComparing(c -> -c.priority())
          .thenComparing(c -> -c.score())
          .thenComparing(c -> c.job().submittedMillis())
          .thenComparing(c -> c.job().id());

  private static final double OVERDUE_FRACTION = 0.9;
  private static final double MIN_OVERUSE = 0.25;
  private static final double MAX_OVERUSE = 4;

  private final PolicyFeatures features;
  private final RuleMatcher matcher;
  private Map<OrganisationId, Double> overuse = Map.of();

  JobOrder(PolicyFeatures features, RuleMatcher matcher) {
    this.features = features;
    this.matcher = matcher;
  }

  /** Returns the waiting jobs in the order in which they are planned. */
  List<Candidate> order(PlanState state) {
    View view = state.view();
    overuse = features.fairness() ? overuse(state) : Map.of();
    List<Candidate> order = new ArrayList<>(view.waiting().size());
    for (WaitingJob w : view.waiting()) {
      order.add(candidate(w, state));
    }
    order.sort(ORDER);
    return order;
  }

  /**
   * Returns whether a wait is near or beyond the declared maximum. A job counts as overdue before
   * the maximum is reached because it takes time to free capacity for it.
   */
  static boolean isOverdue(long waitedMillis, View view) {
    long maxWaitMillis = view.declarations().policy().maxWait().toMillis();
    return waitedMillis >= maxWaitMillis * OVERDUE_FRACTION;
  }

  /** Returns the score that the job of a running attempt would have if it were waiting. */
  double score(PlacedAttempt attempt, PlanState state) {
    Job job = attempt.running().job();
    long waitedMillis = Math.max(0, state.view().nowMillis() - job.submittedMillis());
    return score(job, waitedMillis, attempt.remainingSeconds());
  }

  private double score(Job job, long waitedMillis, double remainingSeconds) {
    double score = 1;
    if (features.ordering()) {
      score = (waitedMillis / 1000.0 + remainingSeconds) / remainingSeconds;
    }
    return score / overuse.getOrDefault(job.organisation(), 1.0);
  }

  private Candidate candidate(WaitingJob waiting, PlanState state) {
    View view = state.view();
    Job job = waiting.job();
    RuleMatcher.Match match =
        matcher.match(view.declarations().rules(), job, view.nowMillis(), state.load());
    long waitedMillis = Math.max(0, view.nowMillis() - job.submittedMillis());
    boolean overdue = features.ageing() && isOverdue(waitedMillis, view);
    double remainingSeconds = state.estimator().remainingSeconds(job, waiting.ranSeconds());
    double score = score(job, waitedMillis, remainingSeconds);
    return new Candidate(waiting, match, overdue, remainingSeconds, overdue ? 0 : score);
  }

  /** Returns for each organisation its share of the use divided by its share of the weights. */
  private static Map<OrganisationId, Double> overuse(PlanState state) {
    Map<OrganisationId, Double> uses = state.decayedUse();
    double useSum = 0;
    double weightSum = 0;
    for (Organisation o : state.view().declarations().organisations()) {
      double use = uses.getOrDefault(o.id(), 0.0);
      useSum += use;
      weightSum += use > 0 ? o.weight() : 0;
    }
    Map<OrganisationId, Double> overuse = new HashMap<>();
    for (Organisation o : state.view().declarations().organisations()) {
      double fairUse = useSum * o.weight() / Math.max(weightSum, o.weight());
      double ratio = fairUse > 0 ? uses.getOrDefault(o.id(), 0.0) / fairUse : 1;
      overuse.put(o.id(), Math.clamp(ratio, MIN_OVERUSE, MAX_OVERUSE));
    }
    return overuse;
  }
}
