package org.fescuehook.logic.batch.store;

import java.time.Duration;

/**
 * How long the store's answers take, estimated from those seen as TCP estimates its round trips
 * (RFC 6298): a smoothed time and a smoothed deviation. A store that is slow for everybody is thus
 * told from one that has lost an answer.
 */
public final class AnswerTimes {

  /** Some fifteen times the usual answer of 4 ms, so that a pause of this VM is no lost answer. */
  private static final Duration SHORTEST = Duration.ofMillis(60);

  /** A slow store takes up to 0.7 s; later than this an answer is worth asking for again. */
  private static final Duration LONGEST = Duration.ofMillis(800);

  /** Weight of a new answer in the smoothed time, and in the smoothed deviation (RFC 6298). */
  private static final double TIME_WEIGHT = 1.0 / 8;

  private static final double DEVIATION_WEIGHT = 1.0 / 4;

  /** Deviations beyond the smoothed time before an answer counts as late (RFC 6298). */
  private static final int DEVIATIONS = 4;

  private double smoothedNanos;
  private double deviationNanos;
  private boolean seen;

  /** Takes in how long the answer to one send took. */
  public void answered(long nanos) {
    if (!seen) {
      seen = true;
      smoothedNanos = nanos;
      deviationNanos = nanos / 2.0;
      return;
    }
    double off = Math.abs(smoothedNanos - nanos);
    deviationNanos += DEVIATION_WEIGHT * (off - deviationNanos);
    smoothedNanos += TIME_WEIGHT * (nanos - smoothedNanos);
  }

  /** Returns the time after which an answer is late. */
  public Duration late() {
    double nanos = smoothedNanos + DEVIATIONS * deviationNanos;
    return Duration.ofNanos(Math.clamp(Math.round(nanos), SHORTEST.toNanos(), LONGEST.toNanos()));
  }
}
