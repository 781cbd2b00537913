package org.fescuehook.logic.dispatch;

/** Moving average of the time that executors take for a request. */
final class ServiceTime {
  private static final double GAIN = 0.05;

  /** Number of samples required before the average is used to reject requests. */
  private static final int MIN_SAMPLES = 50;

  private double meanMillis;
  private int samples;

  void addSample(long millis) {
    meanMillis = samples == 0 ? millis : meanMillis + GAIN * (millis - meanMillis);
    samples = Math.min(MIN_SAMPLES, samples + 1);
  }

  /**
   * Returns the expected time in which the slots handle the given number of requests; 0 while
   * unknown.
   */
  double expectedMillis(double requests, int slots) {
    if (samples < MIN_SAMPLES || slots == 0) {
      return 0;
    }
    return requests * meanMillis / slots;
  }
}
