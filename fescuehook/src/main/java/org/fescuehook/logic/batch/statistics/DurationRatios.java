package org.fescuehook.logic.batch.statistics;

/**
 * The distribution of the ratio of actual to estimated durations, as a histogram of its logarithm.
 * Older observations count less. Until there are some, the estimates are taken to be right.
 */
final class DurationRatios {

  private static final double LOWEST = -Math.log(16);
  private static final double WIDTH = 0.1;

  /** The range up to 16 times the estimate, in intervals of 10 percent. */
  private static final int BINS = (int) Math.ceil(-2 * LOWEST / WIDTH);

  /** Number of observations as which the estimates count. */
  private static final double INITIAL_COUNT = 3;

  /** Number of observations after which older ones begin to be forgotten. */
  private static final double MAX_COUNT = 200;

  /**
   * Expected remaining time, relative to the time so far, of work that has taken longer than all
   * observed before. Of durations with a long tail, the longest lasted the longest afterwards.
   */
  private static final double BEYOND_ALL = 0.5;

  /** Share of the observations that are below the low quantile. */
  private static final double LOW_SHARE = 0.1;

  private final double[] counts = new double[BINS];
  private double observed;
  private double median;
  private double low;
  private boolean quantilesKnown;

  DurationRatios() {
    counts[bin(0)] = INITIAL_COUNT;
  }

  /** Returns the number of observations that count. */
  double observed() {
    return observed;
  }

  /**
   * Learns from one run.
   *
   * @param logRatio logarithm of the ratio of its actual to its estimated duration
   */
  void learn(double logRatio) {
    if (observed >= MAX_COUNT) {
      double keep = (MAX_COUNT - 1) / observed;
      for (int i = 0; i < BINS; i++) {
        counts[i] *= keep;
      }
      observed *= keep;
    }
    observed++;
    counts[bin(logRatio)]++;
    quantilesKnown = false;
  }

  /** Returns the logarithm of the median ratio. */
  double median() {
    findQuantiles();
    return median;
  }

  /** Returns the logarithm of a ratio that few observations are below. */
  double low() {
    findQuantiles();
    return low;
  }

  private void findQuantiles() {
    if (!quantilesKnown) {
      median = quantile(0.5);
      low = quantile(LOW_SHARE);
      quantilesKnown = true;
    }
  }

  /** Returns a quantile of the logarithm of the ratio. */
  double quantile(double share) {
    double total = 0;
    for (double count : counts) {
      total += count;
    }
    double below = 0;
    for (int i = 0; i < BINS; i++) {
      if (counts[i] > 0 && below + counts[i] >= total * share) {
        double inside = (total * share - below) / counts[i];
        return LOWEST + (i + inside) * WIDTH;
      }
      below += counts[i];
    }
    return -LOWEST;
  }

  /**
   * Returns the expected remaining time of a run, in multiples of its estimate.
   *
   * @param elapsed time that it has run, in multiples of its estimate
   */
  double expectedLeft(double elapsed) {
    double longer = 0;
    double sum = 0;
    for (int i = elapsed > 0 ? bin(Math.log(elapsed)) : 0; i < BINS; i++) {
      double ratio = Math.exp(LOWEST + (i + 0.5) * WIDTH);
      if (ratio > elapsed) {
        longer += counts[i];
        sum += counts[i] * (ratio - elapsed);
      }
    }
    return longer < 0.5 ? elapsed * BEYOND_ALL : sum / longer;
  }

  private static int bin(double logRatio) {
    return Math.clamp((long) Math.floor((logRatio - LOWEST) / WIDTH), 0, BINS - 1);
  }
}
