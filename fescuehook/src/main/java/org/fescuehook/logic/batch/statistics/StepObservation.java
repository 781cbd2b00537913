package org.fescuehook.logic.batch.statistics;

import java.util.Map;
import java.util.WeakHashMap;
import org.fescuehook.logic.batch.state.LiveRun;

/**
 * What the runs of a step show: the bias of its estimate, which all its runs share, and the
 * progress of each run. The bias begins as that of its queue.
 */
final class StepObservation {

  /** Number of runs of one step from which its queue learns, so that wide steps do not dominate. */
  private static final int MAX_QUEUE_OBSERVATIONS = 4;

  private final QueueBias queue;
  private final Map<LiveRun, ProgressWindow> windows = new WeakHashMap<>();
  private GangProgress gang = new GangProgress(0, false);
  private boolean biasKnown;
  private double bias;
  private double variance;
  private int queueObservations;

  StepObservation(QueueBias queue) {
    this.queue = queue;
  }

  /** Returns the logarithm of the ratio of actual to estimated duration. */
  double bias() {
    return biasKnown ? bias : queue.mean();
  }

  /** Returns the variance of the bias. */
  double variance() {
    return biasKnown ? variance : queue.variance();
  }

  /**
   * Learns the bias from one run.
   *
   * @param ratio logarithm of the ratio of its actual to its estimated duration, at usual speed
   * @param noise variance of the observation
   */
  void learn(double ratio, double noise) {
    double before = variance();
    double gain = before / (before + noise);
    bias = bias() + gain * (ratio - bias());
    variance = before * (1 - gain);
    biasKnown = true;
    if (queueObservations < MAX_QUEUE_OBSERVATIONS) {
      queueObservations++;
      queue.learn(ratio);
    }
  }

  /** Returns the progress of each run that is observed alone. */
  Map<LiveRun, ProgressWindow> windows() {
    return windows;
  }

  /**
   * Returns the progress of a run of the gang.
   *
   * @param separate whether the members of gangs have been seen to progress on their own
   */
  GangProgress gang(int run, boolean separate) {
    if (gang.run() != run) {
      gang = new GangProgress(run, separate);
    }
    return gang;
  }
}
