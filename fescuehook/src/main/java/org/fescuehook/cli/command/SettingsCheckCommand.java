package org.fescuehook.cli.command;

import java.util.List;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.preferences.PortProbe;
import org.fescuehook.logic.preferences.SettingsParser;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code settings check}: checks a settings file without starting a VM. */
public final class SettingsCheckCommand implements Command {

  @Argument(metaVar = "FILE", required = true, usage = "settings of an entry VM, INI")
  private String file = "";

  @Option(name = "--without-ports", usage = "do not try the listening addresses on this machine")
  private boolean withoutPorts;

  @Option(name = "--format", usage = "form of the result")
  private Format format = Format.TEXT;

  @Override
  public ExitCode run(Console console) throws CommandException {
    FaultWriter writer = new FaultWriter(console, format);
    PortProbe probe = withoutPorts ? PortProbe.NONE : new SocketPortProbe();
    try {
      new SettingsParser(probe).parse(InputFiles.read(file));
    } catch (FaultyInputException e) {
      writer.write(e.faults(), List.of());
      return ExitCode.FAULTY_INPUT;
    }
    if (format == Format.TEXT) {
      console.out().println(file + ": correct");
    }
    writer.write(List.of(), List.of());
    return ExitCode.DONE;
  }
}
