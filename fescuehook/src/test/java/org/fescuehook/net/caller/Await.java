package org.fescuehook.net.caller;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits until another thread makes a condition true. */
final class Await {
  private static final long LIMIT_NANOS = 30_000_000_000L;

  private Await() {}

  static void until(BooleanSupplier condition) {
    long begun = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - begun > LIMIT_NANOS) {
        throw new AssertionError("the condition did not become true in time");
      }
      LockSupport.parkNanos(1_000_000);
    }
  }
}
