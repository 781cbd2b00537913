package org.fescuehook.logic.batch.statistics;

import java.time.Duration;
import java.util.Optional;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;

/**
 * The speed of one incarnation of an executor, as the natural logarithm of its ratio to the usual
 * speed of the fleet. It consists of a lasting part, which is the weighted mean of one observation
 * for each run, and of a temporary slowdown, which follows sudden changes within a few reports and
 * ends by itself.
 */
final class SpeedEstimate {

  /** Bounds the lasting part: executors of one pool differ by less than a factor of 2.5. */
  private static final double MAX_LASTING = Math.log(2.5);

  /** Bounds the slowdown: an executor that makes no progress counts as 20 times slower. */
  private static final double MAX_SLOWDOWN = Math.log(20);

  /** Largest change of the lasting part by one observation, so that a wrong report has limits. */
  private static final double MAX_LASTING_CHANGE = 0.35;

  /** Largest change of the slowdown by one report: a factor of two. */
  private static final double MAX_SLOWDOWN_CHANGE = Math.log(2);

  /** Largest weight, so that the estimate follows about the last ten runs. */
  private static final double MAX_WEIGHT = 25;

  /** After this time without new observations, half of the evidence counts no more. */
  private static final double HALF_LIFE_NANOS = Duration.ofSeconds(120).toNanos();

  /**
   * How long a slowdown counts after the last report that shows it. Such slowness lasts about 7 s,
   * and an executor that is avoided for it has no runs that could show its end.
   */
  private static final long SLOWDOWN_RETENTION_NANOS = Duration.ofSeconds(8).toNanos();

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Incarnation incarnation;
  private double mean;
  private double weight;
  private long learnedAt;
  private double slowdown;
  private long slowdownSeenAt = NEVER;
  private long normalAt = NEVER;
  private long slowStartAt = NEVER;
  private boolean reportedSlow;
  private Optional<RackId> rack = Optional.empty();

  SpeedEstimate(Incarnation incarnation, long nowNanos) {
    this.incarnation = incarnation;
    this.learnedAt = nowNanos;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the rack of the executor; absent while it is not known. */
  Optional<RackId> rack() {
    return rack;
  }

  void locate(RackId inRack) {
    rack = Optional.of(inRack);
  }

  /** Returns the mean of the observations of the lasting part. */
  double mean() {
    return mean;
  }

  /** Returns the weight of the evidence: the inverse of the variance of the mean. */
  double weight(long nowNanos) {
    return weight * Math.pow(0.5, (nowNanos - learnedAt) / HALF_LIFE_NANOS);
  }

  /**
   * Learns the lasting part from an observation.
   *
   * @param observed logarithm of the speed that a run showed
   * @param precision inverse of the variance of the observation
   */
  void learn(double observed, double precision, long nowNanos) {
    weight = Math.min(MAX_WEIGHT, weight(nowNanos) + precision);
    learnedAt = nowNanos;
    double change = (observed - mean) * Math.min(1, precision / weight);
    mean += Math.clamp(change, -MAX_LASTING_CHANGE, MAX_LASTING_CHANGE);
    mean = Math.clamp(mean, -MAX_LASTING, MAX_LASTING);
  }

  /** Begins with what a former owner has learned. */
  void restore(double storedMean, double storedWeight, long nowNanos) {
    mean = Math.clamp(storedMean, -MAX_LASTING, MAX_LASTING);
    weight = storedWeight;
    learnedAt = nowNanos;
  }

  /** Returns the temporary slowdown as a logarithm; 0 if there is none. */
  double slowdown(long nowNanos) {
    return nowNanos - slowdownSeenAt < SLOWDOWN_RETENTION_NANOS ? slowdown : 0;
  }

  /** Records that a run shows a slowdown, which the estimate follows within a few reports. */
  void slowedTo(double observed, long nowNanos) {
    double current = slowdown(nowNanos);
    double change =
        Math.clamp(Math.min(0, observed) - current, -MAX_SLOWDOWN_CHANGE, MAX_SLOWDOWN_CHANGE);
    slowdown = Math.max(-MAX_SLOWDOWN, current + change);
    slowdownSeenAt = nowNanos;
  }

  /** Records that a run shows that the slowdown is at most the given one. */
  void atLeast(double observed, long nowNanos) {
    if (slowdown(nowNanos) < observed) {
      slowedTo(observed, nowNanos);
    }
  }

  /** Records that a run progresses normally here. */
  void normal(long nowNanos) {
    normalAt = nowNanos;
    atLeast(0, nowNanos);
  }

  /** Records that the normal progress of a run here was that of another executor. */
  void withdrawNormal() {
    normalAt = NEVER;
  }

  /** Tells whether a run has progressed normally here in the given time. */
  boolean normalWithin(long nanos, long nowNanos) {
    return nowNanos - normalAt < nanos;
  }

  /**
   * Records that a run was slow from its start, of which the executor or its task may be the cause.
   *
   * @return whether another run was as slow in the given time, which makes the executor the cause
   */
  boolean slowStart(long nanos, long nowNanos) {
    boolean repeated = nowNanos - slowStartAt < nanos;
    slowStartAt = nowNanos;
    return repeated;
  }

  /** Returns whether the slowdown was last reported as present. */
  boolean reportedSlow() {
    return reportedSlow;
  }

  void setReportedSlow(boolean slow) {
    reportedSlow = slow;
  }
}
