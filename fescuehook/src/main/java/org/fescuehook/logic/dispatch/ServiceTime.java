package org.fescuehook.logic.dispatch;

/** Moving average of the time that an executor takes for a request. */
final class ServiceTime {
  private static final double GAIN = 0.05;

  /** Requests to have seen before the average is used to refuse any. */
  private static final int ENOUGH = 50;

  private double meanMillis;
  private int seen;

  void took(long millis) {
    meanMillis = seen == 0 ? millis : meanMillis + GAIN * (millis - meanMillis);
    seen = Math.min(ENOUGH, seen + 1);
  }

  /** Returns the expected time until so many requests have ended; 0 while unknown. */
  double millis(double requests, int slots) {
    if (seen < ENOUGH || slots == 0) {
      return 0;
    }
    return requests * meanMillis / slots;
  }
}
