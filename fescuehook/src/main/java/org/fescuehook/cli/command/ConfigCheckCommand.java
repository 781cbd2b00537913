package org.fescuehook.cli.command;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.configuration.CheckedDeclarations;
import org.fescuehook.logic.ini.FaultyInputException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code config check}: checks declaration files without publishing them. */
public final class ConfigCheckCommand implements Command {

  @Argument(metaVar = "FILE", required = true, usage = "declarations, INI; several make up one")
  private List<String> files = new ArrayList<>();

  @Option(name = "--format", usage = "form of the result")
  private Format format = Format.TEXT;

  @Override
  public ExitCode run(Console console) throws CommandException {
    FaultWriter writer = new FaultWriter(console, format);
    try {
      CheckedDeclarations checked = DeclarationFiles.read(files).check();
      if (format == Format.TEXT) {
        console.out().println(String.join(", ", files) + ": correct");
      }
      writer.write(List.of(), checked.warnings());
      return ExitCode.DONE;
    } catch (FaultyInputException e) {
      writer.write(e.faults(), List.of());
      return ExitCode.FAULTY_INPUT;
    }
  }
}
