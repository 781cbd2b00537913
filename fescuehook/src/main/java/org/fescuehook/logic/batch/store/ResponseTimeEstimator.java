package org.fescuehook.logic.batch.store;

import java.time.Duration;
import java.util.Optional;

/**
 * How long the store's answers take, estimated from those seen as TCP estimates its round trips
 * (RFC 6298): a smoothed time and a smoothed deviation. A store that is slow for everybody is thus
 * told from one that has lost an answer.
 */
public final class ResponseTimeEstimator {

  /** Longest time until an answer counts as late; callers have left long before. */
  private static final Duration LONGEST = Duration.ofSeconds(5);

  /** Weight of a new answer in the smoothed time, and in the smoothed deviation (RFC 6298). */
  private static final double TIME_WEIGHT = 1.0 / 8;

  private static final double DEVIATION_WEIGHT = 1.0 / 4;

  /**
   * Deviation that the first answer is taken to have, as a part of its time. RFC 6298 takes a half;
   * one lost answer of a slow store is then asked for again after three answers' time.
   */
  private static final double FIRST_DEVIATION = 1.0 / 4;

  /** Deviations beyond the smoothed time before an answer counts as late (RFC 6298). */
  private static final int DEVIATIONS = 4;

  /**
   * One answer counts as this many times the time after which it was late at most: a store that was
   * silent answers what has waited for it, and that is no time that it needs.
   */
  private static final int MOST_GROWTH = 4;

  private final Duration shortest;
  private final Optional<ResponseTimeEstimator> simpler;
  private double smoothedNanos;
  private double deviationNanos;
  private boolean seen;

  /**
   * Creates an estimate that has seen no answer.
   *
   * @param shortest time within which no answer counts as late, also of a store that is quick
   */
  public ResponseTimeEstimator(Duration shortest) {
    this(shortest, Optional.empty());
  }

  /**
   * Creates an estimate that has seen no answer, for calls that take up to twice as long as simpler
   * ones: a store that is slow for those is not pressed by the first of these.
   *
   * @param shortest time within which no answer counts as late, also of a store that is quick
   * @param simpler what is known of simpler calls
   */
  public ResponseTimeEstimator(Duration shortest, ResponseTimeEstimator simpler) {
    this(shortest, Optional.of(simpler));
  }

  private ResponseTimeEstimator(Duration shortest, Optional<ResponseTimeEstimator> simpler) {
    this.shortest = shortest;
    this.simpler = simpler;
  }

  /** Takes in how long the answer to one send took. */
  public void answered(long nanos) {
    if (!seen) {
      seen = true;
      smoothedNanos = nanos;
      deviationNanos = nanos * FIRST_DEVIATION;
      return;
    }
    long taken = Math.min(nanos, MOST_GROWTH * late().toNanos());
    double off = Math.abs(smoothedNanos - taken);
    // An answer sooner than expected must not make later ones seem less late.
    double counted = taken < smoothedNanos ? Math.min(off, deviationNanos) : off;
    deviationNanos += DEVIATION_WEIGHT * (counted - deviationNanos);
    smoothedNanos += TIME_WEIGHT * (taken - smoothedNanos);
  }

  /** Returns the time after which an answer is late. */
  public Duration late() {
    double own = seen ? estimateNanos() : Double.POSITIVE_INFINITY;
    double nanos = Math.min(own, simplerNanos());
    if (nanos == Double.POSITIVE_INFINITY) {
      return shortest;
    }
    return Duration.ofNanos(Math.clamp(Math.round(nanos), shortest.toNanos(), LONGEST.toNanos()));
  }

  /**
   * Returns what the simpler calls say. Own answers are longer where calls wait for each other, or
   * for repeats of lost ones; to ask again so late would make the next ones wait as well.
   */
  private double simplerNanos() {
    return simpler
        .filter(calls -> calls.seen)
        .map(calls -> 2 * calls.estimateNanos())
        .orElse(Double.POSITIVE_INFINITY);
  }

  private double estimateNanos() {
    return smoothedNanos + DEVIATIONS * deviationNanos;
  }
}
