package org.fescuehook.cli.command;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.preferences.SchedulerSettingsParser;
import org.fescuehook.model.preferences.SchedulerPreferences;
import org.kohsuke.args4j.Option;

/** {@code scheduler}: runs a VM that schedules batch jobs until it is asked to stop. */
public final class SchedulerCommand implements Command {

  /**
   * Environment variable that names the settings file if the option {@code --settings} is missing.
   */
  private static final String SETTINGS_VARIABLE = "FESCUEHOOK_CONFIG";

  private final SchedulerStarter starter;

  @Option(
      name = "--settings",
      metaVar = "FILE",
      usage = "settings of this VM, INI; without it the file that FESCUEHOOK_CONFIG names")
  private String settings = "";

  @Option(name = "--check", usage = "only check the settings and start nothing")
  private boolean check;

  /** Creates the command, which starts the VM with the given starter. */
  public SchedulerCommand(SchedulerStarter starter) {
    this.starter = starter;
  }

  @Override
  public ExitCode run(Console console) throws CommandException {
    String file = settings.isEmpty() ? settingsFromEnvironment(console) : settings;
    SchedulerPreferences preferences;
    try {
      preferences = new SchedulerSettingsParser().parse(InputFiles.read(file));
    } catch (FaultyInputException e) {
      new FaultWriter(console, Format.TEXT).write(e.faults(), List.of());
      return ExitCode.FAULTY_INPUT;
    }
    if (check) {
      preferences.unusable().forEach(fault -> console.err().println("no machine API: " + fault));
      console.out().println(file + ": correct");
      return ExitCode.DONE;
    }
    return starter.run(preferences);
  }

  private static String settingsFromEnvironment(Console console) throws CommandException {
    return Optional.ofNullable(console.environment().get(SETTINGS_VARIABLE))
        .orElseThrow(
            () ->
                new CommandException(
                    ExitCode.FAULTY_INPUT,
                    "no settings: give --settings FILE or set " + SETTINGS_VARIABLE));
  }
}
