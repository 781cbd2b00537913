package org.fescuehook.logic.batch.admission;

import java.util.TreeMap;

/**
 * Spreads the returns of refused callers over seconds, since {@code Retry-After} is in whole
 * seconds and callers refused at the same moment would return at the same moment. A caller is
 * delayed beyond what its refusal requires only if the second in which it would return is full.
 */
final class ReturnSchedule {

  /**
   * Number of returns in one second up to which callers are not delayed further. It is about ten
   * times the submissions per second of the deployments with heavy load, which an owner with a
   * quarter of a core still handles; 500 callers return within five seconds.
   */
  static final int MAX_RETURNS_PER_SECOND = 100;

  /**
   * Seconds by which a return is postponed at most. Beyond it callers would lose more by the delay
   * than the owner gains by the spread.
   */
  private static final int MAX_POSTPONED_SECONDS = 8;

  private static final long MILLIS_PER_SECOND = 1000;

  private final TreeMap<Long, Integer> returnsBySecond = new TreeMap<>();

  /**
   * Adds the return of a caller.
   *
   * @param nowMillis monotonic time
   * @param minDelayMillis shortest delay of its return
   * @return the delay of its return, in whole seconds but given in milliseconds
   */
  long add(long nowMillis, long minDelayMillis) {
    returnsBySecond.headMap(second(nowMillis)).clear();
    long delay = Math.ceilDiv(minDelayMillis, MILLIS_PER_SECOND) * MILLIS_PER_SECOND;
    long first = second(nowMillis + delay);
    long best = first;
    for (long next = first; next <= first + MAX_POSTPONED_SECONDS; next++) {
      if (returns(next) < MAX_RETURNS_PER_SECOND) {
        best = next;
        break;
      }
      best = returns(next) < returns(best) ? next : best;
    }
    returnsBySecond.merge(best, 1, Integer::sum);
    return delay + (best - first) * MILLIS_PER_SECOND;
  }

  /** Removes the return of a caller that came earlier, at the time at which it was expected. */
  void remove(long returnMillis) {
    returnsBySecond.computeIfPresent(
        second(returnMillis), (second, count) -> count > 1 ? count - 1 : null);
  }

  private int returns(long second) {
    return returnsBySecond.getOrDefault(second, 0);
  }

  private static long second(long millis) {
    return Math.floorDiv(millis, MILLIS_PER_SECOND);
  }
}
