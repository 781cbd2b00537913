package org.fescuehook.logic.ini;

import java.util.List;

/**
 * Table of keys for the documentation.
 *
 * @param keys the keys, in the order of the rows
 */
public record KeyTable(List<Key<?>> keys) {

  /** Copies the list. */
  public KeyTable {
    keys = List.copyOf(keys);
  }

  /** Returns the table in Markdown. */
  public String markdown() {
    StringBuilder text =
        new StringBuilder("| Key | Default | Meaning | Accepted |\n|---|---|---|---|\n");
    for (Key<?> key : keys) {
      String fallback = key.fallbackText().map(KeyTable::formatFallback).orElse("must be given");
      text.append(
          "| `%s` | %s | %s | %s |\n"
              .formatted(
                  key.name(),
                  fallback,
                  escapeCell(key.meaning()),
                  escapeCell(key.type().accepted())));
    }
    return text.toString();
  }

  private static String formatFallback(String fallback) {
    return fallback.isEmpty() ? "none" : "`" + fallback + "`";
  }

  private static String escapeCell(String text) {
    return text.replace("|", "\\|");
  }
}
