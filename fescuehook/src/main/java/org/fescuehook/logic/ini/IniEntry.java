package org.fescuehook.logic.ini;

/**
 * A key with its value.
 *
 * @param location location of the key
 * @param value its value, without quotes and comments
 */
public record IniEntry(SourceLocation location, String value) {

  /** Returns the key. */
  public String key() {
    return location.key();
  }
}
