package org.fescuehook.logic.batch.statistics;

import java.time.Duration;

/**
 * The progress of a run, or of a gang whose members progress together, between two reports. Rates
 * are logarithms of the progress relative to the estimated duration: 0 is as estimated.
 */
final class ProgressWindow {

  /**
   * Progress in percent, expected or made, from which on the rate of a run is known: reports are
   * whole percents, and starts of the members of a gang differ by some hundredths of a second.
   */
  private static final double MIN_FIRST_PERCENT = 15;

  /** Expected progress in percent from which on a change of the rate is visible. */
  private static final double MIN_PERCENT = 5;

  private static final long MIN_LENGTH_NANOS = Duration.ofMillis(300).toNanos();

  /** Progress that counts as made if none is reported, as percents are rounded down. */
  private static final double LEAST_PROGRESS = 0.5;

  private static final double PERCENT = 100;
  private static final double NANOS_PER_MILLI = 1e6;

  private final long estimateMillis;
  private long since;
  private int fromPercent;
  private boolean rated;
  private double rate;
  private double slowdownWhenRated;

  /**
   * Creates a window.
   *
   * @param fromPercent progress at its begin
   */
  ProgressWindow(long estimateMillis, long since, int fromPercent) {
    this.estimateMillis = estimateMillis;
    this.since = since;
    this.fromPercent = fromPercent;
  }

  /** Returns whether the rate of the run has been determined. */
  boolean rated() {
    return rated;
  }

  /** Returns the rate when it was determined. */
  double rate() {
    return rate;
  }

  /** Returns the temporary slowdown of the executor when the rate was determined. */
  double slowdownWhenRated() {
    return slowdownWhenRated;
  }

  /** Determines the rate of the run. */
  void rateAs(double newRate, double slowdown) {
    rated = true;
    rate = newRate;
    slowdownWhenRated = slowdown;
  }

  /**
   * Tells whether the window is long enough to determine a rate.
   *
   * @param expectedRate the rate that was expected
   */
  boolean conclusive(int percent, double expectedRate, long nowNanos) {
    double expected = asEstimated(nowNanos) * Math.exp(expectedRate);
    double least = rated ? MIN_PERCENT : MIN_FIRST_PERCENT;
    boolean enough = expected >= least || percent - fromPercent >= MIN_FIRST_PERCENT;
    return enough && nowNanos - since >= MIN_LENGTH_NANOS;
  }

  /** Returns the rate in this window. */
  double rateAt(int percent, long nowNanos) {
    return Math.log(Math.max(LEAST_PROGRESS, percent - fromPercent) / asEstimated(nowNanos));
  }

  /** Returns the variance of the rate that comes from reports in whole percents. */
  double roundingVariance(int percent) {
    double relative = LEAST_PROGRESS / Math.max(1, percent - fromPercent);
    return relative * relative;
  }

  /** Begins the next window. */
  void restart(int percent, long nowNanos) {
    since = nowNanos;
    fromPercent = percent;
  }

  private double asEstimated(long nowNanos) {
    double millis = Math.max(1, (nowNanos - since) / NANOS_PER_MILLI);
    return PERCENT * millis / Math.max(1, estimateMillis);
  }
}
