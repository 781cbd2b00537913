package org.fescuehook.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.cli.client.EntryClient;
import org.fescuehook.cli.client.EntryUnreachableException;
import org.fescuehook.logic.configuration.CheckedDeclarations;
import org.fescuehook.logic.configuration.DeclarationsComparison;
import org.fescuehook.logic.configuration.DeclarationsParser;
import org.fescuehook.logic.configuration.Difference;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.model.configuration.Declarations;
import org.kohsuke.args4j.Argument;

/** {@code config diff}: compares the declarations in force with files, without changing them. */
public final class ConfigDiffCommand extends OperatorCommand {

  @Argument(metaVar = "FILE", required = true, usage = "declarations, INI; several make up one")
  private List<String> files = new ArrayList<>();

  @Override
  ExitCode run(Console console, EntryClient client)
      throws CommandException, EntryUnreachableException {
    CheckedDeclarations wanted;
    try {
      wanted = new DeclarationsParser().parse(DeclarationFiles.read(files).sources());
    } catch (FaultyInputException e) {
      new FaultWriter(console, format()).write(e.faults(), List.of());
      return ExitCode.FAULTY_INPUT;
    }
    Optional<PublishedConfiguration> current = PublishedConfiguration.fetchCurrent(client);
    Optional<Declarations> inForce =
        current.isPresent() ? Optional.of(parse(current.get())) : Optional.empty();
    List<Difference> differences =
        new DeclarationsComparison(inForce, wanted.declarations()).differences();
    long revision = current.map(PublishedConfiguration::revision).orElse(-1L);
    write(console, revision, differences, wanted);
    if (!wanted.faults().isEmpty()) {
      return ExitCode.FAULTY_INPUT;
    }
    return differences.isEmpty() ? ExitCode.DONE : ExitCode.DIFFERENT;
  }

  private static Declarations parse(PublishedConfiguration current) throws CommandException {
    String name = "revision " + current.revision();
    try {
      List<IniSource> sources = List.of(IniSource.of(name, current.declarations()));
      return new DeclarationsParser().read(sources);
    } catch (FaultyInputException e) {
      throw new CommandException(
          ExitCode.REFUSED,
          name + " is in force and cannot be read by this version: " + e.faults().getFirst());
    }
  }

  private void write(
      Console console, long revision, List<Difference> differences, CheckedDeclarations wanted) {
    if (format() == Format.JSON) {
      Report report =
          new Report(
              revision,
              differences,
              wanted.faults().stream().map(Fault::message).toList(),
              wanted.warnings().stream().map(Fault::message).toList());
      console.out().println(Json.write(report));
      return;
    }
    String from = revision < 0 ? "no configuration" : "revision " + revision;
    String count =
        switch (differences.size()) {
          case 0 -> "no difference";
          case 1 -> "1 difference";
          default -> differences.size() + " differences";
        };
    console.out().println(from + " is in force: " + count);
    differences.forEach(difference -> console.out().println(difference.describe()));
    new FaultWriter(console, Format.TEXT).write(wanted.faults(), wanted.warnings());
  }

  /** Result of the comparison, written as JSON. */
  private record Report(
      long revision, List<Difference> differences, List<String> faults, List<String> warnings) {}
}
