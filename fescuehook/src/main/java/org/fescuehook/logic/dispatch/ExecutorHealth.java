package org.fescuehook.logic.dispatch;

/**
 * Judges one executor by how its dispatches ended: ejected after failures in a row, for a time that
 * doubles, and let back slowly.
 */
final class ExecutorHealth {
  static final int FAILURES_TO_EJECT = 3;
  static final long FIRST_EJECTION_MILLIS = 2_000;
  static final long LONGEST_EJECTION_MILLIS = 60_000;
  static final long SLOW_START_MILLIS = 10_000;

  static final int REACHABLE_FAILURES_TO_EJECT = 2;
  static final long PAUSE_MILLIS = 50;

  private int failures;
  private int reachableFailures;
  private long pausedUntil;
  private int ejections;
  private long ejectedUntil;
  private boolean checking;

  /** Notes a success. */
  void succeeded(long nowMillis) {
    failures = 0;
    reachableFailures = 0;
    if (nowMillis - ejectedUntil > SLOW_START_MILLIS) {
      ejections = 0;
    }
  }

  /** Notes a failure; true if there are now enough in a row to eject. */
  boolean failed() {
    failures++;
    return failures >= FAILURES_TO_EJECT;
  }

  /** Notes that a fresh connection is being tried; false if one is already. */
  boolean beginCheck() {
    if (checking) {
      return false;
    }
    checking = true;
    return true;
  }

  /**
   * Notes how trying a fresh connection ended; true if the executor is to be ejected. One that
   * takes connections gets a second chance, since its pooled connections may be what failed.
   */
  boolean checked(boolean reachable) {
    checking = false;
    if (!reachable) {
      return true;
    }
    if (failures < FAILURES_TO_EJECT) {
      return false;
    }
    failures = 0;
    reachableFailures++;
    return reachableFailures >= REACHABLE_FAILURES_TO_EJECT;
  }

  /** Sends nothing for a moment: the executor said that it has no free slot. */
  void pause(long nowMillis) {
    pausedUntil = nowMillis + PAUSE_MILLIS;
  }

  boolean paused(long nowMillis) {
    return nowMillis < pausedUntil;
  }

  /** Ejects it; each time in a row lasts twice as long. */
  long eject(long nowMillis) {
    long lasts = Math.min(LONGEST_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(5, ejections));
    ejections++;
    failures = FAILURES_TO_EJECT - 1;
    ejectedUntil = nowMillis + lasts;
    return lasts;
  }

  boolean ejected(long nowMillis) {
    return nowMillis < ejectedUntil;
  }

  /** Returns how many of {@code slots} may be used, fewer for a while after an ejection. */
  int allowed(int slots, long nowMillis) {
    if (ejections == 0 || nowMillis - ejectedUntil >= SLOW_START_MILLIS) {
      return slots;
    }
    long since = Math.max(0, nowMillis - ejectedUntil);
    return (int) Math.max(1, slots * since / SLOW_START_MILLIS);
  }
}
