package org.fescuehook.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.ini.IniSource;

/** Reads the files that the command line names. */
final class InputFiles {

  private InputFiles() {}

  static IniSource read(String file) throws CommandException {
    try {
      return new IniSource(file, Files.readAllBytes(Path.of(file)));
    } catch (NoSuchFileException e) {
      throw new CommandException(ExitCode.FAULTY_INPUT, file + ": no such file; give its path");
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.FAULTY_INPUT, file + ": cannot be read (" + e.getMessage() + ")");
    }
  }

  static List<IniSource> readAll(List<String> files) throws CommandException {
    List<IniSource> sources = new ArrayList<>();
    for (String file : files) {
      sources.add(read(file));
    }
    return sources;
  }
}
