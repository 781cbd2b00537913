package org.fescuehook.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.fescuehook.cli.command.Console;
import org.fescuehook.cli.command.EntryStarter;
import org.fescuehook.cli.command.ExitCode;

/**
 * What a command wrote and how it ended.
 *
 * @param exitCode how it ended
 * @param out what it wrote to the standard output
 * @param err what it wrote to the standard error output
 */
record CommandResult(ExitCode exitCode, String out, String err) {

  private static final EntryStarter NO_ENTRY =
      preferences -> {
        throw new AssertionError("an entry VM was started");
      };

  static CommandResult of(String... arguments) {
    return of(NO_ENTRY, Map.of(), arguments);
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
