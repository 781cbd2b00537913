package org.fescuehook.logic.batch.ownership;

/**
 * Lower bounds on the silence after which an owner is replaced, in nanoseconds.
 *
 * @param ofLongestGap bound by the longest recent gap between heartbeats
 * @param ofUsualGap bound by the usual gap between heartbeats
 * @param ofDelay bound by the time until a heartbeat is read
 */
record SilenceBounds(long ofLongestGap, long ofUsualGap, long ofDelay) {

  /** Returns the greatest bound. */
  long greatest() {
    return Math.max(ofDelay, Math.max(ofLongestGap, ofUsualGap));
  }
}
