package org.fescuehook.logic.batch.store;

import java.time.Duration;
import java.util.Optional;

/**
 * Estimates the response time of the store from observed answers, the way TCP estimates its
 * round-trip time (RFC 6298): with a smoothed time and a smoothed deviation. This distinguishes a
 * store that is slow from one whose answer was lost.
 */
public final class ResponseTimeEstimator {

  /** Longest time until an answer counts as late; callers have given up long before. */
  private static final Duration MAX_LATE_THRESHOLD = Duration.ofSeconds(5);

  /** Weight of a new sample in the smoothed time, and in the smoothed deviation (RFC 6298). */
  private static final double TIME_WEIGHT = 1.0 / 8;

  private static final double DEVIATION_WEIGHT = 1.0 / 4;

  /**
   * Deviation assumed for the first sample, as a share of its time. RFC 6298 uses a half; with
   * that, an answer lost by a slow store would only be noticed after three times its response time.
   */
  private static final double INITIAL_DEVIATION_SHARE = 1.0 / 4;

  /**
   * Number of deviations above the smoothed time from which on an answer counts as late (RFC 6298).
   */
  private static final int DEVIATION_FACTOR = 4;

  /**
   * Limits one sample to this multiple of the time after which its answer was late. A store that
   * was silent for a while then answers all that has queued up, which says nothing about its
   * response time.
   */
  private static final int MAX_GROWTH = 4;

  private final Duration minThreshold;
  private final Optional<ResponseTimeEstimator> simplerCalls;
  private double smoothedNanos;
  private double deviationNanos;
  private boolean hasSample;

  /**
   * Creates an estimator without samples.
   *
   * @param minThreshold time within which no answer counts as late, even if the store is fast
   */
  public ResponseTimeEstimator(Duration minThreshold) {
    this(minThreshold, Optional.empty());
  }

  /**
   * Creates an estimator without samples for calls that take up to twice as long as simpler ones.
   * While the store is slow for those, the first of these calls is not repeated too early.
   *
   * @param minThreshold time within which no answer counts as late, even if the store is fast
   * @param simplerCalls the estimator for the simpler calls
   */
  public ResponseTimeEstimator(Duration minThreshold, ResponseTimeEstimator simplerCalls) {
    this(minThreshold, Optional.of(simplerCalls));
  }

  private ResponseTimeEstimator(
      Duration minThreshold, Optional<ResponseTimeEstimator> simplerCalls) {
    this.minThreshold = minThreshold;
    this.simplerCalls = simplerCalls;
  }

  /** Records how long the answer to one call took. */
  public void answered(long nanos) {
    if (!hasSample) {
      hasSample = true;
      smoothedNanos = nanos;
      deviationNanos = nanos * INITIAL_DEVIATION_SHARE;
      return;
    }
    long sample = Math.min(nanos, MAX_GROWTH * lateAfter().toNanos());
    double deviation = Math.abs(smoothedNanos - sample);
    // An answer faster than expected must not make later ones count as late sooner.
    double countedDeviation =
        sample < smoothedNanos ? Math.min(deviation, deviationNanos) : deviation;
    deviationNanos += DEVIATION_WEIGHT * (countedDeviation - deviationNanos);
    smoothedNanos += TIME_WEIGHT * (sample - smoothedNanos);
  }

  /** Returns the time after which an answer counts as late. */
  public Duration lateAfter() {
    double own = hasSample ? estimateNanos() : Double.POSITIVE_INFINITY;
    double nanos = Math.min(own, simplerCallsNanos());
    if (nanos == Double.POSITIVE_INFINITY) {
      return minThreshold;
    }
    return Duration.ofNanos(
        Math.clamp(Math.round(nanos), minThreshold.toNanos(), MAX_LATE_THRESHOLD.toNanos()));
  }

  /**
   * Returns the time derived from the simpler calls. Samples of the calls themselves are longer
   * where these wait for each other, or for repeats of lost ones; using those times would make the
   * next calls wait as well.
   */
  private double simplerCallsNanos() {
    return simplerCalls
        .filter(calls -> calls.hasSample)
        .map(calls -> 2 * calls.estimateNanos())
        .orElse(Double.POSITIVE_INFINITY);
  }

  private double estimateNanos() {
    return smoothedNanos + DEVIATION_FACTOR * deviationNanos;
  }
}
