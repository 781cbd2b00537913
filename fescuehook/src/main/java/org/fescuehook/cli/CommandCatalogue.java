package org.fescuehook.cli;

import java.util.List;
import org.fescuehook.cli.command.ConfigCheckCommand;
import org.fescuehook.cli.command.ConfigDiffCommand;
import org.fescuehook.cli.command.ConfigHistoryCommand;
import org.fescuehook.cli.command.ConfigPublishCommand;
import org.fescuehook.cli.command.ConfigShowCommand;
import org.fescuehook.cli.command.DrainCommand;
import org.fescuehook.cli.command.EntryCommand;
import org.fescuehook.cli.command.EntryStarter;
import org.fescuehook.cli.command.ExplainCommand;
import org.fescuehook.cli.command.ExplainLogCommand;
import org.fescuehook.cli.command.JobCancelCommand;
import org.fescuehook.cli.command.JobShowCommand;
import org.fescuehook.cli.command.ReplayCommand;
import org.fescuehook.cli.command.SchedulerCommand;
import org.fescuehook.cli.command.SchedulerStarter;
import org.fescuehook.cli.command.SettingsCheckCommand;
import org.fescuehook.cli.command.SettingsExampleCommand;
import org.fescuehook.cli.command.StatusCommand;
import org.fescuehook.cli.command.SubmitCommand;

/** Lists the commands of the {@code fescuehook} program. */
final class CommandCatalogue {

  private CommandCatalogue() {}

  /** Returns the commands in the order in which the help text lists them. */
  static List<CommandSpec> commands(EntryStarter starter, SchedulerStarter scheduler) {
    return List.of(
        new CommandSpec("entry", "run an entry VM", () -> new EntryCommand(starter)),
        new CommandSpec(
            "scheduler",
            "run a VM that schedules batch jobs",
            () -> new SchedulerCommand(scheduler)),
        new CommandSpec("settings check", "check a settings file", SettingsCheckCommand::new),
        new CommandSpec(
            "settings example",
            "print a settings file that explains itself",
            SettingsExampleCommand::new),
        new CommandSpec("config check", "check declarations", ConfigCheckCommand::new),
        new CommandSpec(
            "config diff", "compare declarations in force with files", ConfigDiffCommand::new),
        new CommandSpec("config publish", "put declarations in force", ConfigPublishCommand::new),
        new CommandSpec("config show", "print published declarations", ConfigShowCommand::new),
        new CommandSpec(
            "config history",
            "list publications with author and reason",
            ConfigHistoryCommand::new),
        new CommandSpec("submit", "submit a gang job", SubmitCommand::new),
        new CommandSpec("job show", "show the state of a job", JobShowCommand::new),
        new CommandSpec("job cancel", "cancel a job", JobCancelCommand::new),
        new CommandSpec("status", "show the state of the system", StatusCommand::new),
        new CommandSpec("drain", "stop an entry VM gracefully", DrainCommand::new),
        new CommandSpec("explain", "tell why a job waits or was refused", ExplainCommand::new),
        new CommandSpec(
            "explain-log", "tell the story of a batch job from logs", ExplainLogCommand::new),
        new CommandSpec("replay", "replay a recorded trace", ReplayCommand::new));
  }
}
