package org.fescuehook.cli.command;

import org.fescuehook.logic.preferences.SettingsDocument;

/** {@code settings example}: prints a complete settings file that explains each key. */
public final class SettingsExampleCommand implements Command {

  @Override
  public ExitCode run(Console console) {
    console.out().print(new SettingsDocument().example());
    return ExitCode.DONE;
  }
}
