package org.fescuehook.logic.ini;

import java.nio.charset.StandardCharsets;

/**
 * Content of an INI file.
 *
 * @param file name of the file, for messages
 * @param content bytes of the file, expected to be UTF-8
 */
public record IniSource(String file, byte[] content) {

  /** Creates a source from text. */
  public static IniSource of(String file, String text) {
    return new IniSource(file, text.getBytes(StandardCharsets.UTF_8));
  }
}
