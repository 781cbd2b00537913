package org.fescuehook.entry.scheduler;

import java.util.function.IntConsumer;

/**
 * What a process does when it is told to end: it stops its program, writes its log out and halts.
 */
final class PlannedStop implements Runnable {

  private static final int EXIT_SUCCESS = 0;

  private final Stoppable program;
  private final Runnable flushLog;
  private final IntConsumer halt;

  /** Stops a program. */
  @FunctionalInterface
  interface Stoppable {
    void stop() throws InterruptedException;
  }

  /**
   * Creates a stop.
   *
   * @param log writes what waits to be logged; nothing is logged afterwards
   * @param halt ends the process without further hooks
   */
  PlannedStop(Stoppable program, Runnable flushLog, IntConsumer halt) {
    this.program = program;
    this.flushLog = flushLog;
    this.halt = halt;
  }

  /** Without the halt the JVM would end a stop on SIGTERM with 143 in place of 0. */
  @Override
  public void run() {
    try {
      program.stop();
    } catch (InterruptedException e) {
      // The process ends here; with the flag set again the log would not be waited for.
    } finally {
      flushLog.run();
    }
    halt.accept(EXIT_SUCCESS);
  }
}
