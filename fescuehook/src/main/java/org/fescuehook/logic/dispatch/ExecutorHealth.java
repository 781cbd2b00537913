package org.fescuehook.logic.dispatch;

/**
 * Health of one executor, derived from the results of its dispatches. After consecutive failures
 * the executor is ejected, for a time that doubles with each ejection in a row; afterwards the
 * number of its usable slots increases slowly.
 */
final class ExecutorHealth {
  static final int FAILURES_TO_EJECT = 3;
  static final long FIRST_EJECTION_MILLIS = 2_000;
  static final long MAX_EJECTION_MILLIS = 60_000;
  static final long SLOW_START_MILLIS = 10_000;

  /** Series of failures after which an executor is ejected although it accepts new connections. */
  static final int REACHABLE_FAILURES_TO_EJECT = 2;

  static final long PAUSE_MILLIS = 50;

  private int consecutiveFailures;
  private int reachableFailures;
  private long pausedUntilMillis;
  private int ejections;
  private long ejectedUntilMillis;
  private boolean checking;

  /** Records a success. */
  void succeeded(long nowMillis) {
    consecutiveFailures = 0;
    reachableFailures = 0;
    if (nowMillis - ejectedUntilMillis > SLOW_START_MILLIS) {
      ejections = 0;
    }
  }

  /**
   * Records a failure; returns whether there are now enough consecutive failures for an ejection.
   */
  boolean failed() {
    consecutiveFailures++;
    return consecutiveFailures >= FAILURES_TO_EJECT;
  }

  /** Begins a check with a new connection; returns false if one is already in progress. */
  boolean beginCheck() {
    if (checking) {
      return false;
    }
    checking = true;
    return true;
  }

  /**
   * Ends a check with a new connection; returns whether the executor must be ejected. An executor
   * that accepts a connection gets a second chance, because only its pooled connections may have
   * failed.
   */
  boolean checked(boolean reachable) {
    checking = false;
    if (!reachable) {
      return true;
    }
    if (consecutiveFailures < FAILURES_TO_EJECT) {
      return false;
    }
    consecutiveFailures = 0;
    reachableFailures++;
    return reachableFailures >= REACHABLE_FAILURES_TO_EJECT;
  }

  /** Pauses dispatches for a short time because the executor reported that it has no free slot. */
  void pause(long nowMillis) {
    pausedUntilMillis = nowMillis + PAUSE_MILLIS;
  }

  boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntilMillis;
  }

  /** Ejects the executor and returns for how long; each ejection in a row lasts twice as long. */
  long eject(long nowMillis) {
    long durationMillis =
        Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(5, ejections));
    ejections++;
    consecutiveFailures = FAILURES_TO_EJECT - 1;
    ejectedUntilMillis = nowMillis + durationMillis;
    return durationMillis;
  }

  boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntilMillis;
  }

  /** Returns how many of {@code slots} may be used; fewer for some time after an ejection. */
  int allowedSlots(int slots, long nowMillis) {
    if (ejections == 0 || nowMillis - ejectedUntilMillis >= SLOW_START_MILLIS) {
      return slots;
    }
    long sinceEjectionMillis = Math.max(0, nowMillis - ejectedUntilMillis);
    return (int) Math.max(1, slots * sinceEjectionMillis / SLOW_START_MILLIS);
  }
}
