package org.fescuehook.logic.batch.statistics;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;

/**
 * The estimated speeds of a fleet. Each one is drawn towards the mean of the fleet by as much as
 * the observations may be noise: the spread of the fleet is what the estimates differ by beyond
 * their own uncertainty. In a fleet of equal executors it becomes 0, and with it all differences.
 */
final class FleetSpeeds {

  /** Bounds the memory; the product's target size is 810 executors. */
  private static final int MAX_EXECUTORS = 4096;

  private static final long SPREAD_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

  /** Variance of the logarithm of speeds that is assumed before the fleet is known. */
  private static final double INITIAL_VARIANCE = 0.06;

  /** Number of executors as which the initial variance counts. */
  private static final double INITIAL_VARIANCE_WEIGHT = 4;

  /** Weight of evidence at which an executor counts half in the variance of the fleet. */
  private static final double HALF_WEIGHT = 8;

  private static final double MIN_VARIANCE = 1e-4;

  /** Variance of a mean that forgets old observations, relative to the inverse of its weight. */
  private static final double NOISE_SHARE = 0.5;

  /** Weight from which on a speed is worth storing: about two runs. */
  private static final double MIN_RECORDED_WEIGHT = 5;

  /** Weight of a stored speed, which is less than it had, as the executor may have changed. */
  private static final double RESTORED_WEIGHT = 15;

  private final Map<ExecutorId, SpeedEstimate> estimates =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<ExecutorId, SpeedEstimate> eldest) {
          return size() > MAX_EXECUTORS;
        }
      };

  /** Classes of speeds that a former owner stored, by the hash of the incarnation. */
  private Map<Integer, Integer> restored = Map.of();

  private double center;
  private double variance = INITIAL_VARIANCE;
  private long spreadAt = Long.MIN_VALUE / 2;

  /** Begins with the speeds that a former owner stored. */
  void restore(Map<Integer, Integer> classes) {
    restored = Map.copyOf(classes);
  }

  /** Tells whether any executor differs from the usual speed by more than the noise. */
  boolean differ(long nowNanos) {
    return estimates.values().stream()
        .anyMatch(estimate -> ExecutorSpeeds.speedClass(lasting(estimate, nowNanos)) != 0);
  }

  /**
   * Returns the classes of the speeds of the executors about which enough is known, by the hashes
   * of their incarnations and as observed: who reads them draws them towards the mean of the fleet
   * again.
   */
  Map<Integer, Integer> classes(long nowNanos) {
    Map<Integer, Integer> classes = new LinkedHashMap<>();
    for (SpeedEstimate estimate : estimates.values()) {
      if (estimate.weight(nowNanos) >= MIN_RECORDED_WEIGHT) {
        classes.put(
            SpeedRecord.hash(estimate.incarnation()),
            ExecutorSpeeds.speedClass(estimate.mean() - center));
      }
    }
    // Executors that were not used since the takeover keep their stored speeds.
    restored.forEach(classes::putIfAbsent);
    return classes;
  }

  /** Returns the estimate of an executor; begins anew if it has another incarnation. */
  SpeedEstimate estimate(Incarnation incarnation, long nowNanos) {
    SpeedEstimate known = estimates.get(incarnation.id());
    if (known == null || incarnation.differsFrom(known.incarnation())) {
      known = new SpeedEstimate(incarnation, nowNanos);
      Integer speed = restored.get(SpeedRecord.hash(incarnation));
      if (speed != null) {
        known.restore(ExecutorSpeeds.logOfClass(speed), RESTORED_WEIGHT, nowNanos);
      }
      estimates.put(incarnation.id(), known);
    }
    return known;
  }

  /** Finds the estimate of an executor about which something is known. */
  Optional<SpeedEstimate> find(Incarnation incarnation, long nowNanos) {
    if (restored.containsKey(SpeedRecord.hash(incarnation))) {
      return Optional.of(estimate(incarnation, nowNanos));
    }
    return Optional.ofNullable(estimates.get(incarnation.id()))
        .filter(known -> !incarnation.differsFrom(known.incarnation()));
  }

  /** Returns the lasting part of the speed as a logarithm; 0 is the usual speed. */
  double lasting(SpeedEstimate estimate, long nowNanos) {
    updateSpread(nowNanos);
    double weight = estimate.weight(nowNanos);
    return weight == 0 ? 0 : (estimate.mean() - center) * weight / (weight + 1 / variance);
  }

  /** Returns the variance of the lasting part. */
  double variance(SpeedEstimate estimate, long nowNanos) {
    updateSpread(nowNanos);
    return 1 / (estimate.weight(nowNanos) + 1 / variance);
  }

  private void updateSpread(long nowNanos) {
    if (nowNanos - spreadAt < SPREAD_INTERVAL_NANOS) {
      return;
    }
    spreadAt = nowNanos;
    double shares = 0;
    double sum = 0;
    for (SpeedEstimate estimate : estimates.values()) {
      double share = share(estimate, nowNanos);
      shares += share;
      sum += share * estimate.mean();
    }
    center = sum / (shares + INITIAL_VARIANCE_WEIGHT);
    double squares = INITIAL_VARIANCE * INITIAL_VARIANCE_WEIGHT;
    for (SpeedEstimate estimate : estimates.values()) {
      double share = share(estimate, nowNanos);
      if (share > 0) {
        double deviation = estimate.mean() - center;
        squares += share * (deviation * deviation - NOISE_SHARE / estimate.weight(nowNanos));
      }
    }
    variance = Math.max(MIN_VARIANCE, squares / (shares + INITIAL_VARIANCE_WEIGHT));
  }

  private static double share(SpeedEstimate estimate, long nowNanos) {
    double weight = estimate.weight(nowNanos);
    return weight / (weight + HALF_WEIGHT);
  }
}
