package org.fescuehook.cli.command;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.fescuehook.logic.configuration.CheckedDeclarations;
import org.fescuehook.logic.configuration.DeclarationsParser;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniSource;

/**
 * Holds the declaration files that the command line names; together they form one configuration.
 *
 * @param sources the files, sorted by name
 */
record DeclarationFiles(List<IniSource> sources) {

  static DeclarationFiles read(List<String> names) throws CommandException {
    return new DeclarationFiles(InputFiles.readAll(names.stream().sorted().distinct().toList()));
  }

  /** Parses and checks the files. */
  CheckedDeclarations check() throws FaultyInputException {
    return new DeclarationsParser().check(sources);
  }

  /** Returns the text to publish: the concatenated files without trailing blanks. */
  String text() {
    StringBuilder text = new StringBuilder();
    for (IniSource source : sources) {
      String content = new String(source.content(), StandardCharsets.UTF_8);
      content.lines().forEach(line -> text.append(line.stripTrailing()).append('\n'));
    }
    return text.toString();
  }
}
