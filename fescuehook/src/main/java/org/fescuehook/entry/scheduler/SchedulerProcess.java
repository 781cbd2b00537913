package org.fescuehook.entry.scheduler;

import java.io.IOException;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.model.preferences.SchedulerPreferences;
import org.fescuehook.net.listen.MachineId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a VM that schedules batch jobs as a process: stops gracefully on SIGTERM. */
public final class SchedulerProcess {

  private static final Logger LOGGER = LoggerFactory.getLogger(SchedulerProcess.class);
  private static final int EXIT_STOPPED = 0;

  private final SchedulerProgram program;

  /** Composes the VM; nothing is opened yet. */
  public SchedulerProcess(SchedulerPreferences preferences) {
    MachineId.use(preferences.identity().vm());
    this.program = new SchedulerProgram(preferences);
  }

  /**
   * Runs until the graceful stop has ended.
   *
   * @throws IOException if a port cannot be opened
   */
  public void run() throws IOException {
    HangupSignal.handle(() -> EventLog.info(LOGGER, SchedulerEvent.RELOAD_ASKED));
    Runtime.getRuntime().addShutdownHook(new Thread(this::stopAndHalt, "stop-on-signal"));
    program.start();
    try {
      program.awaitStop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Without the halt the JVM would end a stop on SIGTERM with 143 in place of 0. */
  private void stopAndHalt() {
    try {
      program.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().halt(EXIT_STOPPED);
  }
}
