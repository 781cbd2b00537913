package org.fescuehook.entry;

import org.fescuehook.logic.control.DeclarationsReader;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.preferences.EntryPreferences;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs an entry VM as a process, which stops gracefully on SIGTERM and exits with a status. */
public final class EntryProcess {

  /** Exit code after a graceful stop. */
  public static final int EXIT_STOPPED = 0;

  /** Exit code after a failed start. */
  public static final int EXIT_START_FAULT = 70;

  private static final Logger LOGGER = LoggerFactory.getLogger(EntryProcess.class);

  private final EntryProgram program;

  /** Creates the VM without opening a port or starting a thread. */
  public EntryProcess(
      EntryPreferences preferences, Scheduler scheduler, DeclarationsReader reader) {
    this.program = new EntryProgram(preferences, scheduler, reader);
  }

  /** Starts the VM, waits for its graceful stop and returns the exit code. */
  public int run() {
    try {
      program.start();
    } catch (EntryStartException e) {
      EventLog.error(
          LOGGER, EntryEvent.START_FAILED, e.step(), e.address(), e.getCause().getMessage());
      return EXIT_START_FAULT;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::stopAndHalt, "stop-on-signal"));
    try {
      program.awaitStop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return EXIT_STOPPED;
  }

  /**
   * Stops the VM and halts with exit code 0. Without the halt, the JVM would exit with 143 after
   * SIGTERM.
   */
  private void stopAndHalt() {
    program.stop();
    Runtime.getRuntime().halt(EXIT_STOPPED);
  }
}
