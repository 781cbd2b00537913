package org.fescuehook.logic.dispatch;

/**
 * This VM's share of an executor's slots or connections: lowered at once, raised only after a
 * settling time.
 */
final class EffectiveShare {
  private int inForce;
  private int announced;
  private long raiseAtMillis;

  /** Takes an announced share. */
  void announce(int slots, long nowMillis, long settleMillis) {
    settle(nowMillis);
    announced = slots;
    if (slots <= inForce) {
      inForce = slots;
      return;
    }
    raiseAtMillis = nowMillis + settleMillis;
  }

  /** Returns the share that may be used. */
  int slots(long nowMillis) {
    settle(nowMillis);
    return inForce;
  }

  private void settle(long nowMillis) {
    if (announced > inForce && nowMillis >= raiseAtMillis) {
      inForce = announced;
    }
  }
}
