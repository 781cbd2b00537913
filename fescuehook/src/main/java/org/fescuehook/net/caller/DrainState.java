package org.fescuehook.net.caller;

/** Holds whether the service port is draining; all connections read it. */
final class DrainState {
  /** Time for which a connection must have been idle before a drain closes it. */
  static final long IDLE_MILLIS = 500;

  private volatile boolean draining;

  void begin() {
    draining = true;
  }

  boolean draining() {
    return draining;
  }

  /** Returns whether the drain closes a connection that has been idle for the given time. */
  boolean closesIdle(long idleMillis) {
    return draining && idleMillis >= IDLE_MILLIS;
  }
}
