package org.fescuehook.cli.command;

/** Implements one command. Its options are fields, which args4j sets before the command runs. */
public interface Command {

  /**
   * Runs the command.
   *
   * @return exit code of the process
   * @throws CommandException if the command fails
   */
  ExitCode run(Console console) throws CommandException;
}
