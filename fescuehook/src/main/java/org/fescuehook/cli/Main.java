package org.fescuehook.cli;

import org.fescuehook.cli.command.CommandException;
import org.fescuehook.cli.command.Console;
import org.fescuehook.cli.command.ExitCode;
import org.fescuehook.model.preferences.EntryPreferences;

/** Entry point of the program. */
public final class Main {

  private Main() {}

  /** Runs the command that the arguments name and ends the process with its exit code. */
  public static void main(String[] arguments) {
    Console console = new Console(System.out, System.err, System.getenv());
    System.exit(new CommandRunner(Main::runEntry).run(arguments, console).code());
  }

  private static ExitCode runEntry(EntryPreferences preferences) throws CommandException {
    throw new CommandException(ExitCode.INTERNAL, "this build has no entry program");
  }
}
