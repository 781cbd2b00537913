package org.fescuehook.logic.preferences;

import java.util.List;
import org.fescuehook.logic.ini.Key;
import org.fescuehook.logic.ini.KeyTable;

/** Documents the settings from the keys that the parser uses. */
public final class SettingsDocument {

  private static final String INDENT = "# ";

  /** Returns a full example in INI, with each key explained and at its default. */
  public String example() {
    StringBuilder text = new StringBuilder();
    for (String section : sections()) {
      text.append(text.isEmpty() ? "" : "\n").append('[').append(section).append("]\n");
      for (Key<?> key : keys(section)) {
        appendExample(text, key);
      }
    }
    return text.toString();
  }

  /** Returns a table of all keys in Markdown. */
  public String markdown() {
    StringBuilder text = new StringBuilder();
    for (String section : sections()) {
      text.append("\n## [").append(section).append("]\n\n");
      text.append(new KeyTable(keys(section)).markdown());
    }
    return text.toString();
  }

  private static void appendExample(StringBuilder text, Key<?> key) {
    text.append(INDENT).append(key.meaning()).append('\n');
    text.append(INDENT).append("Accepted: ").append(key.type().accepted()).append(".\n");
    boolean leftOut = key.equals(SettingKeys.OPERATOR_TOKEN);
    String value = leftOut ? "at-least-sixteen-characters" : key.example();
    text.append(leftOut ? "# " : "").append(key.name()).append(" = ").append(value).append('\n');
  }

  private static List<String> sections() {
    return SettingKeys.ALL.stream().<String>map(Key::section).distinct().toList();
  }

  private static List<Key<?>> keys(String section) {
    return SettingKeys.ALL.stream().filter(key -> key.section().equals(section)).toList();
  }
}
