package org.fescuehook.logic.batch.statistics;

import java.time.Duration;
import java.util.List;

/**
 * Learns the speeds of executors from the rates of runs. A run that is observed alone has one
 * executor; a gang whose members progress together has several, of which the slowest determines the
 * rate.
 */
final class SpeedEvidence {

  /**
   * Deviation from the expected rate from which on it is not the usual noise but a slow executor or
   * a long task: a factor of 2.5.
   */
  private static final double OUTLIER = Math.log(2.5);

  /** Standard deviations from which on a deviation is not the usual noise. */
  private static final double OUTLIER_DEVIATIONS = 2;

  /** Sudden change of the rate of a run that only its executor can have caused: a factor of two. */
  private static final double SUDDEN_CHANGE = Math.log(2);

  /** Change of the rate within which a run goes on normally. */
  private static final double STEADY = 0.4;

  /** Slowdown within which an executor counts as normal. */
  private static final double NO_SLOWDOWN = 0.2;

  /** Time within which the runs of an executor are compared; each reports about once a second. */
  private static final long COMPARED_NANOS = Duration.ofSeconds(3).toNanos();

  /** Time for which an executor with a normal run is not the slow one of a gang. */
  private static final long CLEARED_NANOS = Duration.ofMillis(1500).toNanos();

  /** Deviation in speed at which an executor is clearly not the slowest one of a gang. */
  private static final double SLOWEST_SCALE = 0.15;

  /** Share of the slowness of a single run that counts for its executor. */
  private static final double SINGLE_SHARE = 0.4;

  /**
   * Share of the evidence that counts for the slowest member of a gang. A fast gang proves that all
   * its members are fast, while a slow one leaves open which of them is slow.
   */
  private static final double SLOWEST_SHARE = 0.5;

  private final FleetSpeeds fleet;

  SpeedEvidence(FleetSpeeds fleet) {
    this.fleet = fleet;
  }

  /** Returns the logarithm of the speed of an executor. */
  double speed(SpeedEstimate estimate, long nowNanos) {
    return fleet.lasting(estimate, nowNanos) + estimate.slowdown(nowNanos);
  }

  /** Returns the logarithm of the speed of the slowest executor. */
  double slowest(List<SpeedEstimate> executors, long nowNanos) {
    double slowest = Double.MAX_VALUE;
    for (SpeedEstimate executor : executors) {
      slowest = Math.min(slowest, speed(executor, nowNanos));
    }
    return slowest;
  }

  private double slowestLasting(List<SpeedEstimate> executors, long nowNanos) {
    double slowest = Double.MAX_VALUE;
    for (SpeedEstimate executor : executors) {
      slowest = Math.min(slowest, fleet.lasting(executor, nowNanos));
    }
    return slowest;
  }

  /**
   * Learns from the first rate of a run.
   *
   * @param spread variance of the durations of a step's runs on equal executors
   * @param rounding variance of the rate
   */
  void firstRate(
      StepObservation step,
      ProgressWindow window,
      List<SpeedEstimate> executors,
      double rate,
      double spread,
      double rounding,
      long nowNanos) {
    double shown = rate + step.bias();
    double lasting = slowestLasting(executors, nowNanos);
    double current = slowest(executors, nowNanos);
    // A run that fits the lasting speeds better shows that a slowdown is over.
    double slowest = Math.abs(shown - lasting) < Math.abs(shown - current) ? lasting : current;
    double noise = step.variance() + spread + rounding;
    double surprise = shown - slowest;
    double uncertainty = Math.sqrt(noise + leastVariance(executors, nowNanos));
    boolean outlier = Math.abs(surprise) > Math.max(OUTLIER, OUTLIER_DEVIATIONS * uncertainty);
    if (outlier && surprise < 0) {
      slowStart(executors, surprise, nowNanos);
    } else {
      executors.forEach(executor -> learn(executor, executors, shown, slowest, noise, nowNanos));
      step.learn(slowest - rate, spread + rounding + leastVariance(executors, nowNanos));
      executors.forEach(executor -> executor.normal(nowNanos));
    }
    window.rateAs(rate, slowdown(executors, nowNanos));
  }

  private void learn(
      SpeedEstimate executor,
      List<SpeedEstimate> executors,
      double shown,
      double slowest,
      double noise,
      long nowNanos) {
    if (executor.slowdown(nowNanos) < -NO_SLOWDOWN) {
      return;
    }
    double speed = fleet.lasting(executor, nowNanos);
    if (executors.size() == 1) {
      executor.learn(shown, 1 / noise, nowNanos);
    } else if (speed < shown) {
      // The gang shows that each of its executors is at least as fast as it is.
      executor.learn(shown, 1 / noise, nowNanos);
    } else if (shown < slowest) {
      double share = SLOWEST_SHARE * shareOfSlowest(speed, executors, slowest, nowNanos);
      executor.learn(shown, share / noise, nowNanos);
    }
  }

  /** Returns the probability that an executor is the slowest one. */
  private double shareOfSlowest(
      double speed, List<SpeedEstimate> executors, double slowest, long nowNanos) {
    double sum = 0;
    for (SpeedEstimate executor : executors) {
      sum += Math.exp((slowest - speed(executor, nowNanos)) / SLOWEST_SCALE);
    }
    return Math.exp((slowest - speed) / SLOWEST_SCALE) / sum;
  }

  /**
   * Handles a run that is much slower than expected from its start. A single one may well be a long
   * task, so that it counts in part; one beside others that progress normally is one.
   */
  private static void slowStart(List<SpeedEstimate> executors, double surprise, long nowNanos) {
    for (SpeedEstimate executor : suspects(executors, COMPARED_NANOS, nowNanos)) {
      boolean repeated = executor.slowStart(COMPARED_NANOS, nowNanos);
      double share = repeated ? 1 : SINGLE_SHARE / executors.size();
      executor.slowedTo(executor.slowdown(nowNanos) + surprise * share, nowNanos);
    }
  }

  /** Returns the executors on which no run has progressed normally in the given time. */
  private static List<SpeedEstimate> suspects(
      List<SpeedEstimate> executors, long nanos, long nowNanos) {
    return executors.stream().filter(executor -> !executor.normalWithin(nanos, nowNanos)).toList();
  }

  /** Learns from the rate of a run since its last report. */
  void laterRate(ProgressWindow window, List<SpeedEstimate> executors, double rate, long nowNanos) {
    double change = rate - window.rate();
    double implied = window.slowdownWhenRated() + change;
    if (implied > -NO_SLOWDOWN || (Math.abs(change) < STEADY && implied > -SUDDEN_CHANGE)) {
      executors.forEach(executor -> executor.normal(nowNanos));
      return;
    }
    if (executors.size() == 1) {
      executors.getFirst().slowedTo(implied, nowNanos);
      return;
    }
    gangSlowed(executors, implied, nowNanos);
  }

  private static void gangSlowed(List<SpeedEstimate> executors, double implied, long nowNanos) {
    for (SpeedEstimate executor : executors) {
      if (executor.slowdown(nowNanos) <= implied / 2) {
        executor.slowedTo(executor.slowdown(nowNanos), nowNanos);
        return;
      }
    }
    List<SpeedEstimate> suspects = suspects(executors, CLEARED_NANOS, nowNanos);
    // The gang itself was normal before, so that its members may all have been cleared by it.
    List<SpeedEstimate> slowed = suspects.isEmpty() ? executors : suspects;
    double share = Math.min(1, 2.0 / slowed.size());
    slowed.forEach(executor -> executor.slowedTo(implied * share, nowNanos));
  }

  private static double slowdown(List<SpeedEstimate> executors, long nowNanos) {
    double most = 0;
    for (SpeedEstimate executor : executors) {
      most = Math.min(most, executor.slowdown(nowNanos));
    }
    return most;
  }

  private double leastVariance(List<SpeedEstimate> executors, long nowNanos) {
    double least = Double.MAX_VALUE;
    for (SpeedEstimate executor : executors) {
      least = Math.min(least, fleet.variance(executor, nowNanos));
    }
    return least;
  }
}
