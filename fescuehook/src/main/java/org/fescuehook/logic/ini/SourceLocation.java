package org.fescuehook.logic.ini;

/**
 * A location in an INI file.
 *
 * @param file name of the file
 * @param line line number from 1; 0 if the file as a whole is meant
 * @param section name of the section; empty if none is meant
 * @param key name of the key; empty if none is meant
 */
public record SourceLocation(String file, int line, String section, String key) {

  /** Returns the location that stands for a whole file. */
  public static SourceLocation ofFile(String file) {
    return new SourceLocation(file, 0, "", "");
  }

  /** Returns the location of another key in the same section and on the same line. */
  public SourceLocation withKey(String other) {
    return new SourceLocation(file, line, section, other);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(file);
    if (line > 0) {
      text.append(':').append(line);
    }
    if (!section.isEmpty()) {
      text.append(": [").append(section).append(']');
    }
    if (!key.isEmpty()) {
      text.append(section.isEmpty() ? ": " : " ").append(key);
    }
    return text.toString();
  }
}
