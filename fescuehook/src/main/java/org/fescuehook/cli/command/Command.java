package org.fescuehook.cli.command;

/** A command. Its options are fields that args4j sets before it runs. */
public interface Command {

  /**
   * Runs the command.
   *
   * @return how the process ends
   * @throws CommandException if it could not do its work
   */
  ExitCode run(Console console) throws CommandException;
}
