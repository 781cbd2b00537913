package org.fescuehook.entry.scheduler;

import ch.qos.logback.classic.LoggerContext;
import java.io.IOException;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.model.preferences.SchedulerPreferences;
import org.fescuehook.net.listen.MachineId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a VM that schedules batch jobs as a process, which stops gracefully on SIGTERM. */
public final class SchedulerProcess {

  private static final Logger LOGGER = LoggerFactory.getLogger(SchedulerProcess.class);

  private final SchedulerProgram program;

  /** Creates the VM without opening a port or starting a thread. */
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
    PlannedStop stop =
        new PlannedStop(program::stop, SchedulerProcess::flushLog, Runtime.getRuntime()::halt);
    Runtime.getRuntime().addShutdownHook(new Thread(stop, "stop-on-signal"));
    program.start();
    try {
      program.awaitStop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Logs that the settings have changed. */
  public static void reloadAsked() {
    EventLog.info(LOGGER, SchedulerEvent.RELOAD_ASKED);
  }

  private static void flushLog() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }
}
