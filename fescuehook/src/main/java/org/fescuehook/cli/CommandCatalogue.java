package org.fescuehook.cli;

import java.util.List;
import org.fescuehook.cli.command.ConfigCheckCommand;
import org.fescuehook.cli.command.ConfigPublishCommand;
import org.fescuehook.cli.command.ConfigShowCommand;
import org.fescuehook.cli.command.EntryCommand;
import org.fescuehook.cli.command.EntryStarter;
import org.fescuehook.cli.command.SettingsCheckCommand;

/** All commands. */
final class CommandCatalogue {

  private CommandCatalogue() {}

  /** Returns the commands in the order of the help text. */
  static List<CommandSpec> commands(EntryStarter starter) {
    return List.of(
        new CommandSpec("entry", "run an entry VM", () -> new EntryCommand(starter)),
        new CommandSpec("settings check", "check a settings file", SettingsCheckCommand::new),
        new CommandSpec("config check", "check declarations", ConfigCheckCommand::new),
        new CommandSpec("config publish", "put declarations in force", ConfigPublishCommand::new),
        new CommandSpec("config show", "print published declarations", ConfigShowCommand::new));
  }
}
