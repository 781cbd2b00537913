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
 * Orders waiting jobs: urgent ones, overdue ones, then by the priority of their rules; among equals
 * by the slowdown that they have come to, weighed by the use of their organisations.
 */
final class JobOrder {

  private static final Comparator<Candidate> ORDER =
      Comparator.comparing((Candidate c) -> !c.job().urgent())
          .thenComparing(c -> !c.overdue())
          .thenComparing(c -> -c.priority())
          .thenComparing(c -> -c.score())
          .thenComparing(c -> c.job().submittedMillis())
          .thenComparing(c -> c.job().id());

  private static final double OVERDUE_SHARE = 0.9;
  private static final double LEAST_OVERUSE = 0.25;
  private static final double MOST_OVERUSE = 4;

  private final PolicyFeatures parts;
  private final RuleMatcher matcher;
  private Map<OrganisationId, Double> overuse = Map.of();

  JobOrder(PolicyFeatures parts, RuleMatcher matcher) {
    this.parts = parts;
    this.matcher = matcher;
  }

  /** Returns the waiting jobs in the order in which they are tried. */
  List<Candidate> order(PlanState state) {
    View view = state.view();
    overuse = parts.fairness() ? overuse(state) : Map.of();
    List<Candidate> order = new ArrayList<>(view.waiting().size());
    for (WaitingJob w : view.waiting()) {
      order.add(candidate(w, state));
    }
    order.sort(ORDER);
    return order;
  }

  /**
   * Tells whether a wait comes near the declared bound. It does so early, as room has yet to be
   * made for the job.
   */
  static boolean isOverdue(long waitedMillis, View view) {
    long bound = view.declarations().policy().maxWait().toMillis();
    return waitedMillis >= bound * OVERDUE_SHARE;
  }

  /** Returns the score that a running attempt's job would have if it waited. */
  double score(Occupant occupant, PlanState state) {
    Job job = occupant.running().job();
    long waitedMillis = Math.max(0, state.view().nowMillis() - job.submittedMillis());
    return score(job, waitedMillis, occupant.leftSeconds());
  }

  private double score(Job job, long waitedMillis, double leftSeconds) {
    double score = 1;
    if (parts.ordering()) {
      score = (waitedMillis / 1000.0 + leftSeconds) / leftSeconds;
    }
    return score / overuse.getOrDefault(job.organisation(), 1.0);
  }

  private Candidate candidate(WaitingJob waiting, PlanState state) {
    View view = state.view();
    Job job = waiting.job();
    RuleMatcher.Match match =
        matcher.match(view.declarations().rules(), job, view.nowMillis(), state.load());
    long waitedMillis = Math.max(0, view.nowMillis() - job.submittedMillis());
    boolean overdue = parts.ageing() && isOverdue(waitedMillis, view);
    double left = state.estimator().left(job, waiting.ranSeconds());
    double score = score(job, waitedMillis, left);
    return new Candidate(waiting, match, overdue, left, overdue ? 0 : score);
  }

  /** Returns for each organisation its share of the use over its share of the weights. */
  private static Map<OrganisationId, Double> overuse(PlanState state) {
    Map<OrganisationId, Double> uses = state.weightedUse();
    double useSum = 0;
    double weightSum = 0;
    for (Organisation o : state.view().declarations().organisations()) {
      double use = uses.getOrDefault(o.id(), 0.0);
      useSum += use;
      weightSum += use > 0 ? o.weight() : 0;
    }
    Map<OrganisationId, Double> overuse = new HashMap<>();
    for (Organisation o : state.view().declarations().organisations()) {
      double fair = useSum * o.weight() / Math.max(weightSum, o.weight());
      double ratio = fair > 0 ? uses.getOrDefault(o.id(), 0.0) / fair : 1;
      overuse.put(o.id(), Math.clamp(ratio, LEAST_OVERUSE, MOST_OVERUSE));
    }
    return overuse;
  }
}
