package org.fescuehook.logic.ini;

/**
 * A key with its value.
 *
 * @param place where the key stands
 * @param value its value, without quotes and comments
 */
public record IniEntry(SourceLocation place, String value) {

  /** Returns the key. */
  public String key() {
    return place.key();
  }
}
