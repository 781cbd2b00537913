package org.fescuehook.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.fescuehook.cli.command.Console;
import org.fescuehook.cli.command.EntryStarter;
import org.fescuehook.cli.command.ExitCode;

/**
 * Holds the output and the exit code of a command.
 *
 * @param exitCode exit code of the command
 * @param out text written to standard output
 * @param err text written to standard error
 */
record CommandResult(ExitCode exitCode, String out, String err) {

  private static final EntryStarter FAILING_STARTER =
      preferences -> {
        throw new AssertionError("an entry VM was started");
      };

  static CommandResult of(String... arguments) {
    return of(FAILING_STARTER, Map.of(), arguments);
  }

  static CommandResult of(
      EntryStarter starter, Map<String, String> environment, String... arguments) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    Console console =
        new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            environment);
    ExitCode code =
        new CommandRunner(starter, preferences -> ExitCode.DONE).run(arguments, console);
    return new CommandResult(
        code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }
}
