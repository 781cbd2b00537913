package org.fescuehook.net.caller;

/** Whether the service port is draining; read by all connections. */
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

  /** Tells whether a connection that has been idle for so long is closed now. */
  boolean closesIdle(long idleMillis) {
    return draining && idleMillis >= IDLE_MILLIS;
  }
}
