package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;

/**
 * Statistics of one organisation's ended attempts. Immutable.
 *
 * @param acceleratorSeconds accelerator seconds used by ended attempts, decayed exponentially up to
 *     {@code asOfMillis}
 * @param asOfMillis time of the last change, milliseconds since 1970
 * @param ratios actual run time divided by declared run time of the last finished jobs, oldest
 *     first
 */
record OrganisationUse(double acceleratorSeconds, long asOfMillis, List<Double> ratios) {

  /** No attempt has ended. */
  static final OrganisationUse NONE = new OrganisationUse(0, 0, List.of());

  /** Maximum number of ratios kept. */
  static final int MAX_RATIOS = 32;

  private static final double HALF_LIFE_MILLIS = 24.0 * 3600 * 1000;

  OrganisationUse {
    ratios = List.copyOf(ratios);
  }

  /** Returns the accelerator seconds, decayed up to the given time. */
  double acceleratorSecondsAt(long nowMillis) {
    long age = Math.max(0, nowMillis - asOfMillis);
    return acceleratorSeconds * Math.pow(0.5, age / HALF_LIFE_MILLIS);
  }

  /** Returns a copy with more accelerator seconds added. */
  OrganisationUse plusUse(double more, long nowMillis) {
    double sum = acceleratorSecondsAt(nowMillis) + more;
    return new OrganisationUse(sum, Math.max(asOfMillis, nowMillis), ratios);
  }

  /** Returns a copy with the ratio of one more finished job. */
  OrganisationUse plusRatio(double ratio) {
    List<Double> kept = new ArrayList<>(ratios);
    if (kept.size() == MAX_RATIOS) {
      kept.removeFirst();
    }
    kept.add(ratio);
    return new OrganisationUse(acceleratorSeconds, asOfMillis, kept);
  }
}
