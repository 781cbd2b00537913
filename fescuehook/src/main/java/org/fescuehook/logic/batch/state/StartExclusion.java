package org.fescuehook.logic.batch.state;

import java.util.OptionalLong;

/** Tracks what rules out that a start of a stopped run is still carried out. */
final class StartExclusion {

  private boolean stopAcknowledged;
  private long stopAcknowledgedAt;
  private OptionalLong expiresMillis = OptionalLong.empty();

  /** Returns whether the executor acknowledged the stop. */
  boolean stopAcknowledged() {
    return stopAcknowledged;
  }

  /** Records that the executor acknowledged the stop. */
  void acknowledgeStop(long nowNanos) {
    stopAcknowledged = true;
    stopAcknowledgedAt = nowNanos;
  }

  /**
   * Records that an answer to a poll lists the run.
   *
   * @param longestStopNanos longest time that a stop may take
   */
  void stillListed(long pollSentAt, long longestStopNanos) {
    if (stopAcknowledged && pollSentAt - stopAcknowledgedAt > longestStopNanos) {
      stopAcknowledged = false;
    }
  }

  /**
   * Records when the newest start expires. Earlier starts to the same incarnation expire no later,
   * and the fencing token excludes those to an earlier one.
   *
   * @param millis time on the clock of the executor
   */
  void startSent(long millis) {
    expiresMillis = OptionalLong.of(millis);
  }

  /**
   * Returns whether no start could be carried out any more when the executor received a poll. An
   * executor rejects a start that arrives after its own expiry, even while other runs extend the
   * lease of the executor.
   *
   * @param pollSentAt monotonic time
   * @param clockMillis time on the clock of the executor that had passed when the poll was sent;
   *     empty if none is known
   */
  boolean effectiveAt(long pollSentAt, OptionalLong clockMillis) {
    boolean expired =
        expiresMillis.isPresent()
            && clockMillis.isPresent()
            && clockMillis.getAsLong() >= expiresMillis.getAsLong();
    return expired || (stopAcknowledged && pollSentAt - stopAcknowledgedAt > 0);
  }
}
