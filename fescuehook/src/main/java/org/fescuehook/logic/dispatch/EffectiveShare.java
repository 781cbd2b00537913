package org.fescuehook.logic.dispatch;

/**
 * This VM's share of an executor's slots or connections. A lower announced share takes effect at
 * once, a higher one only after a delay, in which the other VMs lower theirs.
 */
final class EffectiveShare {
  private int effective;
  private int announced;
  private long raiseAtMillis;

  /** Sets a new announced share. */
  void announce(int share, long nowMillis, long raiseDelayMillis) {
    applyDueRaise(nowMillis);
    announced = share;
    if (share <= effective) {
      effective = share;
      return;
    }
    raiseAtMillis = nowMillis + raiseDelayMillis;
  }

  /** Returns the share that this VM may use now. */
  int effective(long nowMillis) {
    applyDueRaise(nowMillis);
    return effective;
  }

  private void applyDueRaise(long nowMillis) {
    if (announced > effective && nowMillis >= raiseAtMillis) {
      effective = announced;
    }
  }
}
