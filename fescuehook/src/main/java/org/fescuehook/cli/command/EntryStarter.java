package org.fescuehook.cli.command;

import org.fescuehook.model.preferences.EntryPreferences;

/** Runs an entry VM until it is asked to stop. */
@FunctionalInterface
public interface EntryStarter {

  /**
   * Runs the entry VM and returns once it has stopped.
   *
   * @return exit code of the process
   * @throws CommandException if the VM cannot be started
   */
  ExitCode run(EntryPreferences preferences) throws CommandException;
}
