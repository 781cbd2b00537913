package org.fescuehook.standins;

/** A clock that is never set back. */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns the milliseconds since some fixed moment, the same for all processes of a machine. */
  long millis();

  /** Returns the clock of this machine. */
  static MonotonicClock system() {
    return () -> System.nanoTime() / 1_000_000;
  }
}
