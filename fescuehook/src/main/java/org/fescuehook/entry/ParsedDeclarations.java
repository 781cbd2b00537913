package org.fescuehook.entry;

import java.util.List;
import org.fescuehook.logic.configuration.DeclarationsParser;
import org.fescuehook.logic.control.DeclarationsReader;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.model.configuration.Declarations;

/** Reads published declarations with the parser that also checks operators' files. */
public final class ParsedDeclarations implements DeclarationsReader {

  private static final String SOURCE = "published declarations";

  private final DeclarationsParser parser = new DeclarationsParser();

  /** Creates a reader. */
  public ParsedDeclarations() {}

  @Override
  public void check(String text) throws InvalidDeclarationsException {
    try {
      parser.check(List.of(IniSource.of(SOURCE, text)));
    } catch (FaultyInputException e) {
      throw new InvalidDeclarationsException(e.getMessage());
    }
  }

  @Override
  public Declarations parse(String text) throws InvalidDeclarationsException {
    try {
      return parser.read(List.of(IniSource.of(SOURCE, text)));
    } catch (FaultyInputException e) {
      throw new InvalidDeclarationsException(e.getMessage());
    }
  }
}
