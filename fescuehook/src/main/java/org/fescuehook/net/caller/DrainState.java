package org.fescuehook.net.caller;

import java.time.Duration;
import java.util.Optional;

/** Holds whether the service port is draining; all connections read it. */
final class DrainState {
  private volatile Optional<Duration> idleLimit = Optional.empty();

  /**
   * Begins the drain.
   *
   * @param limit time for which a connection must have been idle before the drain closes it
   */
  void begin(Duration limit) {
    idleLimit = Optional.of(limit);
  }

  boolean draining() {
    return idleLimit.isPresent();
  }

  /** Returns whether the drain closes a connection that has been idle for the given time. */
  boolean closesIdle(long idleMillis) {
    return idleLimit.filter(limit -> idleMillis >= limit.toMillis()).isPresent();
  }
}
