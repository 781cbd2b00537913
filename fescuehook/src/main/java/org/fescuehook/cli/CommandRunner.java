package org.fescuehook.cli;

import java.io.PrintStream;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.cli.command.Command;
import org.fescuehook.cli.command.CommandException;
import org.fescuehook.cli.command.Console;
import org.fescuehook.cli.command.EntryStarter;
import org.fescuehook.cli.command.ExitCode;
import org.fescuehook.cli.command.SchedulerStarter;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Finds the command that the arguments name, parses its options and runs it. */
public final class CommandRunner {

  private static final Set<String> HELP = Set.of("--help", "-h");
  private static final int USAGE_WIDTH = 100;

  private final List<CommandSpec> commands;

  /** Creates a runner whose commands start VMs with the given starters. */
  public CommandRunner(EntryStarter starter, SchedulerStarter scheduler) {
    this.commands = CommandCatalogue.commands(starter, scheduler);
  }

  /** Runs the command; reports invalid input by its exit code and never by an exception. */
  public ExitCode run(String[] arguments, Console console) {
    Optional<CommandSpec> spec = find(arguments);
    if (spec.isEmpty()) {
      return runWithoutCommand(arguments, console);
    }
    int wordCount = spec.get().matches(arguments);
    return run(spec.get(), Arrays.copyOfRange(arguments, wordCount, arguments.length), console);
  }

  private Optional<CommandSpec> find(String[] arguments) {
    return commands.stream().filter(spec -> spec.matches(arguments) > 0).findFirst();
  }

  private ExitCode runWithoutCommand(String[] arguments, Console console) {
    if (Arrays.stream(arguments).anyMatch(HELP::contains)) {
      printCommands(console.out());
      return ExitCode.DONE;
    }
    String given = String.join(" ", arguments);
    console
        .err()
        .println(
            given.isEmpty()
                ? "fescuehook: no command given; see fescuehook --help"
                : "fescuehook: unknown command \"" + given + "\"; see fescuehook --help");
    return ExitCode.FAULTY_INPUT;
  }

  private static ExitCode run(CommandSpec spec, String[] options, Console console) {
    Command command = spec.factory().get();
    CmdLineParser parser =
        new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
    if (Arrays.stream(options).anyMatch(HELP::contains)) {
      printUsage(spec, parser, console.out());
      return ExitCode.DONE;
    }
    try {
      parser.parseArgument(options);
      return command.run(console);
    } catch (CmdLineException e) {
      console
          .err()
          .println("fescuehook: " + e.getMessage() + "; see fescuehook " + spec.name() + " --help");
      return ExitCode.FAULTY_INPUT;
    } catch (CommandException e) {
      console.err().println("fescuehook: " + e.getMessage());
      return e.exitCode();
    } catch (RuntimeException e) {
      console.err().println("fescuehook: fault of the program; report it with these lines");
      e.printStackTrace(console.err());
      return ExitCode.INTERNAL;
    }
  }

  private void printCommands(PrintStream out) {
    out.println("usage: fescuehook COMMAND [options]; each command has --help");
    out.println();
    for (CommandSpec spec : commands) {
      out.printf("  %-18s %s%n", spec.name(), spec.summary());
    }
    printExitCodes(out);
  }

  private static void printUsage(CommandSpec spec, CmdLineParser parser, PrintStream out) {
    StringWriter line = new StringWriter();
    parser.printSingleLineUsage(line, null);
    out.println("usage: fescuehook " + spec.name() + line);
    out.println(spec.summary());
    out.println();
    parser.printUsage(out);
    printExitCodes(out);
  }

  private static void printExitCodes(PrintStream out) {
    out.println();
    out.println("exit codes:");
    for (ExitCode code : ExitCode.values()) {
      out.printf("  %-3d %s%n", code.code(), code.meaning());
    }
  }
}
