package org.fescuehook.logic.batch.statistics;

/**
 * How much longer the work of a queue takes than its callers estimate, on executors of the usual
 * speed: mean and variance of the logarithm of the ratio.
 */
final class QueueBias {

  /** Number of observations after which older ones begin to be forgotten. */
  private static final double MAX_WEIGHT = 60;

  /** Variance assumed before anything is known: estimates are off by half or more. */
  private static final double INITIAL_VARIANCE = 0.16;

  /** Number of observations as which the initial variance counts. */
  private static final double INITIAL_VARIANCE_WEIGHT = 4;

  /** Smallest variance, since no queue estimates its work exactly. */
  private static final double MIN_VARIANCE = 0.01;

  private double mean;
  private double weight;
  private double squares = INITIAL_VARIANCE * INITIAL_VARIANCE_WEIGHT;

  void learn(double ratio) {
    double count = Math.min(MAX_WEIGHT, weight + 1);
    double keep = (count - 1) / Math.max(1, weight);
    double deviation = ratio - mean;
    mean += deviation / count;
    squares = squares * Math.min(1, keep) + deviation * (ratio - mean);
    weight = count;
  }

  double mean() {
    return mean;
  }

  /** Returns the variance of a further ratio, including that of the mean. */
  double variance() {
    double known = Math.max(MIN_VARIANCE, squares / (weight + INITIAL_VARIANCE_WEIGHT));
    return known * (1 + 1 / (weight + 1));
  }
}
