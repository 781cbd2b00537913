package org.fescuehook.cli.command;

import org.fescuehook.model.preferences.SchedulerPreferences;

/** Runs a VM that schedules batch jobs until it is told to stop. */
@FunctionalInterface
public interface SchedulerStarter {

  /**
   * Runs the VM.
   *
   * @return how the process ends
   * @throws CommandException if it cannot be started
   */
  ExitCode run(SchedulerPreferences preferences) throws CommandException;
}
