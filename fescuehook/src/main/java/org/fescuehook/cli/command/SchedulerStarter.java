package org.fescuehook.cli.command;

import org.fescuehook.model.preferences.SchedulerPreferences;

/** Runs a VM that schedules batch jobs until it is asked to stop. */
@FunctionalInterface
public interface SchedulerStarter {

  /**
   * Runs the VM and returns once it has stopped.
   *
   * @return exit code of the process
   * @throws CommandException if the VM cannot be started
   */
  ExitCode run(SchedulerPreferences preferences) throws CommandException;
}
