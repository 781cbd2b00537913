package org.fescuehook.entry.scheduler;

import java.util.function.IntConsumer;

/** Stops the program, flushes the log and halts the process. Runs as a shutdown hook. */
final class PlannedStop implements Runnable {

  private static final int EXIT_SUCCESS = 0;

  private final Stoppable program;
  private final Runnable flushLog;
  private final IntConsumer halt;

  /** A program that can be stopped. */
  @FunctionalInterface
  interface Stoppable {
    void stop() throws InterruptedException;
  }

  /**
   * Creates a stop.
   *
   * @param log writes the queued log lines; nothing is logged afterwards
   * @param halt ends the process without running further shutdown hooks
   */
  PlannedStop(Stoppable program, Runnable flushLog, IntConsumer halt) {
    this.program = program;
    this.flushLog = flushLog;
    this.halt = halt;
  }

  /** Halts with exit status 0. Without the halt, the JVM would exit with 143 after SIGTERM. */
  @Override
  public void run() {
    try {
      program.stop();
    } catch (InterruptedException e) {
      // The interrupt flag stays cleared, as the log would otherwise not be flushed before the
      // process ends.
    } finally {
      flushLog.run();
    }
    halt.accept(EXIT_SUCCESS);
  }
}
