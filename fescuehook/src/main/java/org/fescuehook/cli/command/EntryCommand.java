package org.fescuehook.cli.command;

import java.util.List;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.preferences.SettingsParser;
import org.fescuehook.model.preferences.EntryPreferences;
import org.kohsuke.args4j.Option;

/** {@code entry}: runs an entry VM until it is asked to stop. */
public final class EntryCommand implements Command {

  private final EntryStarter starter;

  @Option(
      name = "--settings",
      metaVar = "FILE",
      required = true,
      usage = "settings of this VM, INI")
  private String settings = "";

  /** Creates the command, which starts the VM with the given starter. */
  public EntryCommand(EntryStarter starter) {
    this.starter = starter;
  }

  @Override
  public ExitCode run(Console console) throws CommandException {
    EntryPreferences preferences;
    try {
      preferences = new SettingsParser(new SocketPortProbe()).parse(InputFiles.read(settings));
    } catch (FaultyInputException e) {
      new FaultWriter(console, Format.TEXT).write(e.faults(), List.of());
      return ExitCode.FAULTY_INPUT;
    }
    return starter.run(preferences);
  }
}
