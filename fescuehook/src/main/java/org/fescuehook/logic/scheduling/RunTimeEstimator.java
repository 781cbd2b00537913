package org.fescuehook.logic.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.organisation.OrganisationId;

/** Estimates run times from the declared ones, corrected by the organisation's past ratios. */
final class RunTimeEstimator {

  private static final int MIN_RATIOS = 3;
  private static final double OVERRUN_FRACTION = 0.25;

  private final History history;
  private final RunTimeCorrection correction;
  private final Map<OrganisationId, Double> factors = new HashMap<>();

  RunTimeEstimator(History history, RunTimeCorrection correction) {
    this.history = history;
    this.correction = correction;
  }

  /** Returns the expected total run time of a job in seconds. */
  double totalSeconds(Job job) {
    double factor = factors.computeIfAbsent(job.organisation(), this::factor);
    return Math.max(1, job.declaredSeconds() * factor);
  }

  /**
   * Returns the expected remaining run time of a job in seconds. For a job near or beyond its
   * estimate this is a fixed fraction of the time that it has run.
   */
  double remainingSeconds(Job job, double ranSeconds) {
    double remaining = totalSeconds(job) - ranSeconds;
    return Math.max(remaining, Math.max(1, ranSeconds * OVERRUN_FRACTION));
  }

  private double factor(OrganisationId organisation) {
    List<Double> ratios = history.use(organisation).ratios();
    if (ratios.size() < MIN_RATIOS) {
      return 1;
    }
    return switch (correction) {
      case NONE -> 1;
      case MEAN -> geometricMean(ratios);
      case MEDIAN -> median(ratios);
    };
  }

  private static double geometricMean(List<Double> ratios) {
    double sum = 0;
    for (double r : ratios) {
      sum += Math.log(Math.max(1e-6, r));
    }
    return Math.exp(sum / ratios.size());
  }

  private static double median(List<Double> ratios) {
    double[] sorted = ratios.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    int middle = sorted.length / 2;
    if (sorted.length % 2 == 1) {
      return sorted[middle];
    }
    return (sorted[middle - 1] + sorted[middle]) / 2;
  }
}
