package org.fescuehook.logic.preferences;

import java.util.List;
import org.fescuehook.logic.ini.Key;
import org.fescuehook.logic.ini.KeyTable;

/** Generates documentation of the settings from the keys that the parser uses. */
public final class SettingsDocument {

  private static final String COMMENT_PREFIX = "# ";
  private static final String HEAD =
      """
      # Settings of an entry VM

      A process reads its settings once, from the INI file given by `fescuehook entry --settings \
      FILE`. All faults are reported at once, each with file, line, section, key, value and what \
      would be accepted; the process then ends with exit code 2 and has started nothing.

      - `fescuehook settings example` prints a full file with each key explained.
      - `fescuehook settings check FILE` checks a file, also by listening on its addresses for a \
      moment; `--without-ports` leaves that out, for a check on another machine or beside a \
      running process.

      The file is UTF-8. Comments begin with `#` or `;`. Durations have a unit (`ms`, `s`, `m`, \
      `h`), and so have sizes (`B`, `KiB`, `MiB`, `GiB`). Shares are decimals. Addresses are IP \
      numbers with a port; names are refused. An unknown section or key is a fault.

      These limits hold between keys: `lease-ttl` is above three `renew-interval` and above \
      `grant-timeout`, `owner-timeout` above two `owner-heartbeat`, `peer-timeout` above two \
      `peer-heartbeat`, `snapshot-interval` above `owner-timeout`, `stale-after` above \
      `peer-timeout`, `claim-window` above `max-timeout`; `tick` is at most `owner-heartbeat`, \
      `default-timeout` at most `max-timeout` and at most `drain-limit`. The three listening \
      addresses differ. `operator` is a loopback address unless `operator-token` is set.
      """;

  /**
   * Returns a complete example INI file in which each key is explained and has its default value.
   */
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

  /** Returns the operators' page on settings, in Markdown. */
  public String page() {
    StringBuilder text = new StringBuilder(HEAD);
    for (String section : sections()) {
      text.append("\n## [").append(section).append("]\n\n");
      text.append(new KeyTable(keys(section)).markdown());
    }
    return text.toString();
  }

  private static void appendExample(StringBuilder text, Key<?> key) {
    text.append(COMMENT_PREFIX).append(key.meaning()).append('\n');
    text.append(COMMENT_PREFIX).append("Accepted: ").append(key.type().accepted()).append(".\n");
    boolean commentedOut = key.equals(SettingKeys.OPERATOR_TOKEN);
    String value = commentedOut ? "at-least-sixteen-characters" : key.example();
    text.append(commentedOut ? COMMENT_PREFIX : "")
        .append(key.name())
        .append(" = ")
        .append(value)
        .append('\n');
  }

  private static List<String> sections() {
    return SettingKeys.ALL.stream().<String>map(Key::section).distinct().toList();
  }

  private static List<Key<?>> keys(String section) {
    return SettingKeys.ALL.stream().filter(key -> key.section().equals(section)).toList();
  }
}
