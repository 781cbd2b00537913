package org.fescuehook.logic.configuration;

import org.fescuehook.logic.ini.KeyTable;

/** Documents the declarations from the keys that the parser uses. */
public final class DeclarationsDocument {

  /** Returns a table in Markdown of the keys of one kind of section, as {@code organisation}. */
  public String table(String section) {
    return new KeyTable(DeclarationKeys.of(section)).markdown();
  }
}
