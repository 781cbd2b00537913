package org.fescuehook.logic.batch.maintenance;

/**
 * How many machines of a wave are taken at once so that its deadline is met.
 *
 * @param left number of machines whose maintenance has not begun
 * @param atMost most machines that may be away at the same time, without those that never return
 * @param timeLeftMillis time until the deadline
 * @param awayMillis how long a machine is away until the owner knows that it is back
 */
record WavePace(int left, int atMost, long timeLeftMillis, long awayMillis) {

  /**
   * Part of the remaining time in which the rest of the wave is planned to be through while other
   * work waits for capacity. What is left covers runs that take several times as long as estimated.
   */
  private static final double PLANNED_SHARE = 0.5;

  /** Time before the deadline at which the last machine should be back. */
  private static final long RESERVE_MILLIS = 2000;

  /**
   * Returns how many machines may be closed or away at the same time. With no work waiting, there
   * is capacity for as many as operators allow; otherwise as few as the deadline permits.
   *
   * @param drainMillis how long a closed machine takes until no run is left
   */
  int machinesAtOnce(long drainMillis, boolean workWaits) {
    long planned = Math.round((timeLeftMillis - RESERVE_MILLIS) * PLANNED_SHARE);
    if (!workWaits || planned <= 0) {
      return atMost;
    }
    long needed = Math.ceilDiv(left * (drainMillis + awayMillis), planned);
    return Math.clamp(needed, Math.min(1, atMost), atMost);
  }

  /**
   * Returns the time until which a machine may wait for its runs to end by themselves.
   *
   * @param position number of machines that are taken before it
   */
  long spareMillis(int position) {
    long rounds = Math.ceilDiv(left - position, Math.max(1, atMost));
    return timeLeftMillis - RESERVE_MILLIS - rounds * awayMillis;
  }
}
