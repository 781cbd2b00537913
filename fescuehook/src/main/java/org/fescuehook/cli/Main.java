package org.fescuehook.cli;

import java.io.IOException;
import org.fescuehook.cli.command.CommandException;
import org.fescuehook.cli.command.Console;
import org.fescuehook.cli.command.ExitCode;
import org.fescuehook.entry.EntryProcess;
import org.fescuehook.entry.ParsedDeclarations;
import org.fescuehook.entry.scheduler.HangupSignal;
import org.fescuehook.entry.scheduler.SchedulerProcess;
import org.fescuehook.logic.scheduling.GuaranteeScheduler;
import org.fescuehook.model.preferences.EntryPreferences;
import org.fescuehook.model.preferences.SchedulerPreferences;

/** Starts the {@code fescuehook} program. */
public final class Main {

  private static final String SCHEDULER = "scheduler";

  private Main() {}

  /** Runs the command that the arguments name and exits with its exit code. */
  public static void main(String[] arguments) {
    if (arguments.length > 0 && arguments[0].equals(SCHEDULER)) {
      // SIGHUP ends the JVM until it is handled. Reading the settings and starting take a second
      // and more, and the signal may come at any time.
      HangupSignal.handle(() -> SchedulerProcess.reloadAsked());
    }
    Console console = new Console(System.out, System.err, System.getenv());
    System.exit(
        new CommandRunner(Main::runEntry, Main::runScheduler).run(arguments, console).code());
  }

  private static ExitCode runEntry(EntryPreferences preferences) throws CommandException {
    int code =
        new EntryProcess(preferences, new GuaranteeScheduler(), new ParsedDeclarations()).run();
    if (code != EntryProcess.EXIT_STOPPED) {
      throw new CommandException(ExitCode.INTERNAL, "the entry VM did not start");
    }
    return ExitCode.DONE;
  }

  private static ExitCode runScheduler(SchedulerPreferences preferences) throws CommandException {
    try {
      new SchedulerProcess(preferences).run();
    } catch (IOException e) {
      throw new CommandException(ExitCode.INTERNAL, "start failed: " + e.getMessage());
    }
    return ExitCode.DONE;
  }
}
