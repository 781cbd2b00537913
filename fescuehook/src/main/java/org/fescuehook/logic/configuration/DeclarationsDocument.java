package org.fescuehook.logic.configuration;

import org.fescuehook.logic.ini.KeyTable;

/** Generates documentation of the declarations from the keys that the parser uses. */
public final class DeclarationsDocument {

  /**
   * Returns a Markdown table of the keys of one kind of section, for example {@code organisation}.
   */
  public String table(String section) {
    return new KeyTable(DeclarationKeys.of(section)).markdown();
  }
}
