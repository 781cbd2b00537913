package org.fescuehook.cli.command;

import org.fescuehook.logic.preferences.SettingsDocument;

/** {@code settings example}: prints a full settings file with every key explained. */
public final class SettingsExampleCommand implements Command {

  @Override
  public ExitCode run(Console console) {
    console.out().print(new SettingsDocument().example());
    return ExitCode.DONE;
  }
}
