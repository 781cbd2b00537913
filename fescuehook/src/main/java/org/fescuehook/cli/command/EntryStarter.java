package org.fescuehook.cli.command;

import org.fescuehook.model.preferences.EntryPreferences;

/** Runs an entry VM until it is told to stop. */
@FunctionalInterface
public interface EntryStarter {

  /**
   * Runs the entry VM.
   *
   * @return how the process ends
   * @throws CommandException if it cannot be started
   */
  ExitCode run(EntryPreferences preferences) throws CommandException;
}
