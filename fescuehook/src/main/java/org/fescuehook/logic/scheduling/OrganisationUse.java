package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;

/**
 * What was learned about one organisation. Immutable.
 *
 * @param acceleratorSeconds use by ended attempts, decayed up to {@code asOfMillis}
 * @param asOfMillis time of the last change, milliseconds since 1970
 * @param ratios run time over declared run time of the last finished jobs, oldest first
 */
record OrganisationUse(double acceleratorSeconds, long asOfMillis, List<Double> ratios) {

  /** Nothing learned. */
  static final OrganisationUse NONE = new OrganisationUse(0, 0, List.of());

  /** Number of ratios that are kept. */
  static final int MOST_RATIOS = 32;

  private static final double HALF_LIFE_MILLIS = 24.0 * 3600 * 1000;

  OrganisationUse {
    ratios = List.copyOf(ratios);
  }

  /** Returns the use, decayed up to a time. */
  double acceleratorSecondsAt(long nowMillis) {
    long age = Math.max(0, nowMillis - asOfMillis);
    return acceleratorSeconds * Math.pow(0.5, age / HALF_LIFE_MILLIS);
  }

  /** Returns the use after more accelerator seconds. */
  OrganisationUse plusUse(double more, long nowMillis) {
    double sum = acceleratorSecondsAt(nowMillis) + more;
    return new OrganisationUse(sum, Math.max(asOfMillis, nowMillis), ratios);
  }

  /** Returns the use after a finished job. */
  OrganisationUse plusRatio(double ratio) {
    List<Double> kept = new ArrayList<>(ratios);
    if (kept.size() == MOST_RATIOS) {
      kept.removeFirst();
    }
    kept.add(ratio);
    return new OrganisationUse(acceleratorSeconds, asOfMillis, kept);
  }
}
